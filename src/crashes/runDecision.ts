/** Decides whether a request may run, by the suspicion of one of its identities. Pure functions. */
import { placementHash } from '../utils/hash.js';
import type { IdentityKind } from './requestIdentity.js';
import type { Suspicion } from './suspicion.js';
import { failedTrials, hasFailedTrial, isShutOut } from './suspicion.js';

/**
 * `run`: the identity does not restrict the request. `run-as-trial`: the request has the trial. `claim-trial`: it may
 * claim a trial. `held`: it has to wait. `shut-out`: it is refused, because it crashes the servers that run it.
 */
export type RunDecision = 'run' | 'run-as-trial' | 'claim-trial' | 'held' | 'shut-out';

/** The facts that a decision depends on. */
export interface RunDecisionInput {
  kind: IdentityKind;
  fingerprint: string;
  suspicion: Suspicion | undefined;
  /** Id of the trial that the request claimed last. */
  request: string;
  /** Whether this request has the current trial. */
  ownsTrial: boolean;
  /** Whether the trial is over although its end was not reported. */
  isTrialExpired: boolean;
  /** Time since this entry learned of the last server exit. */
  millisecondsSinceLastExit: number;
  /** Whether other identities of this request are suspected too; see `hasOtherSuspect`. */
  hasOtherSuspect: boolean;
  /** Whether identities that this request does not have may have caused the exits; see `isExplainedByOthers`. */
  isExplainedByOthers: boolean;
}

/**
 * Server exits from which on requests run one at a time. The first exit must not hold up the many requests that share
 * a part of a prompt, of which most are harmless.
 */
const EXITS_BEFORE_TRIAL: Record<IdentityKind, number> = {
  request: 1,
  'prompt-part': 2,
  'prompt-parts': 2,
};
/** Server exits after which a request has to pause before its next trial, or before it is rejected. */
const EXITS_BEFORE_PAUSE = 2;
/**
 * A harmless request may share several crashed servers with harmful ones in a row. After this pause the harmful ones
 * are known, so that the harmless one is not rejected, and its next trial clears it.
 */
const PAUSE_MILLISECONDS = 1_000;
/** The same for a request whose trial would show less than that of another one with the identity. */
const LONG_PAUSE_MILLISECONDS = 2_000;
const PAUSE_SPREAD_MILLISECONDS = 400;
/**
 * Servers and weights change: after this time what is shut out may have another trial, which costs at most one server.
 */
const FIRST_SHUT_OUT_MILLISECONDS = 30_000;
const MAX_SHUT_OUT_MILLISECONDS = 600_000;
/** Each failed trial makes the next shut-out longer. */
const SHUT_OUT_GROWTH = 4;

/** How long an identity is shut out after its last server exit. */
export function shutOutMilliseconds(suspicion: Suspicion): number {
  const growth = SHUT_OUT_GROWTH ** Math.max(0, failedTrials(suspicion).length - 1);
  return Math.min(MAX_SHUT_OUT_MILLISECONDS, FIRST_SHUT_OUT_MILLISECONDS * growth);
}

/** The pauses differ by identity, so that several harmful ones do not crash the same servers again and again. */
function pauseMilliseconds({ fingerprint, hasOtherSuspect }: RunDecisionInput): number {
  const longest = hasOtherSuspect ? LONG_PAUSE_MILLISECONDS : PAUSE_MILLISECONDS;
  return longest - (placementHash(fingerprint) % PAUSE_SPREAD_MILLISECONDS);
}

export function decideRun(facts: RunDecisionInput): RunDecision {
  const { suspicion, request, ownsTrial, isTrialExpired, millisecondsSinceLastExit } = facts;
  if (!suspicion || suspicion.ends.length < EXITS_BEFORE_TRIAL[facts.kind]) return 'run';
  const isRunningTrial = ownsTrial && !hasFailedTrial(suspicion, request);
  if (isRunningTrial) return 'run-as-trial';
  const isPausing =
    suspicion.ends.length >= EXITS_BEFORE_PAUSE && millisecondsSinceLastExit < pauseMilliseconds(facts);
  if (isPausing) return 'held';
  const isBlocked = isShutOut(suspicion) && !facts.isExplainedByOthers;
  if (isBlocked && millisecondsSinceLastExit < shutOutMilliseconds(suspicion)) return 'shut-out';
  const isTrialTaken = suspicion.trial !== undefined && !ownsTrial && !isTrialExpired;
  return isTrialTaken ? 'held' : 'claim-trial';
}
