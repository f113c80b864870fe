/** Whether a suspected request may run. Pure. */
import type { Suspicion } from './suspicion.js';
import { hasFailedTrial, isShutOut } from './suspicion.js';

/**
 * `free`: it is not suspected. `mine`: its trial is that of this very request. `open`: it may have a trial. `held`: it has to wait.
 * `shut-out`: it ends its servers.
 */
export type RunDecision = 'free' | 'mine' | 'open' | 'held' | 'shut-out';

/** What a standing follows from. */
export interface RunDecisionInput {
  suspicion: Suspicion | undefined;
  /** The request that asks. */
  request: string;
  /** Whether the trial is that of the request that asks. */
  ownsTrial: boolean;
  /** Whether the trial is over though nobody has said so. */
  isTrialExpired: boolean;
  /** Milliseconds since the last end became known. */
  millisecondsSinceLastExit: number;
  /** Whether other requests that are shut out had all the servers that ended under this one. */
  isExplainedByOthers: boolean;
}

/** Ends after which a request rests before its next trial. */
const EXITS_BEFORE_PAUSE = 2;
/**
 * Where several requests end servers at the same time, a good one may meet them at two of its own in a row. After this time they
 * are known, and its next trial tells.
 */
const PAUSE_MILLISECONDS = 1_000;
/** Servers and weights change: after so long a request that was shut out may have one more trial, which costs a server at worst. */
export const SHUT_OUT_MILLISECONDS = 600_000;
/** The same where another one is as likely to have ended the servers: one more trial of each tells them apart. */
const EXPLAINED_MILLISECONDS = 5_000;

export function decideRun(facts: RunDecisionInput): RunDecision {
  const {
    suspicion,
    request,
    ownsTrial: isMine,
    isTrialExpired: isLapsed,
    millisecondsSinceLastExit: sinceEnd,
    isExplainedByOthers: isExplained,
  } = facts;
  if (!suspicion) return 'free';
  const isRunningTrial = isMine && !hasFailedTrial(suspicion, request);
  if (isRunningTrial) return 'mine';
  if (isShutOut(suspicion)) {
    const blockedFor = isExplained ? EXPLAINED_MILLISECONDS : SHUT_OUT_MILLISECONDS;
    if (sinceEnd < blockedFor) return 'shut-out';
  }
  const isPausing = suspicion.ends.length >= EXITS_BEFORE_PAUSE && sinceEnd < PAUSE_MILLISECONDS;
  const isTrialTaken = suspicion.trial !== undefined && !isMine && !isLapsed;
  return isPausing || isTrialTaken ? 'held' : 'open';
}
