/** Decides whether a suspected request may run. Pure functions. */
import type { Suspicion } from './suspicion.js';
import { hasFailedTrial, isShutOut } from './suspicion.js';

/**
 * `run`: the request is not suspected. `run-as-trial`: the request has the trial. `claim-trial`: it may claim a
 * trial. `held`: it has to wait. `shut-out`: it is refused, because it crashes the servers that run it.
 */
export type RunDecision = 'run' | 'run-as-trial' | 'claim-trial' | 'held' | 'shut-out';

/** The facts that a decision depends on. */
export interface RunDecisionInput {
  suspicion: Suspicion | undefined;
  /** Id of the trial that the request claimed last. */
  request: string;
  /** Whether this request has the current trial. */
  ownsTrial: boolean;
  /** Whether the trial is over although its end was not reported. */
  isTrialExpired: boolean;
  /** Time since this entry learned of the last server exit. */
  millisecondsSinceLastExit: number;
  /** Whether each server that exited under this request also ran another request that is shut out. */
  isExplainedByOthers: boolean;
}

/** Server exits after which a request has to pause before its next trial. */
const EXITS_BEFORE_PAUSE = 2;
/**
 * When several harmful requests run at the same time, a harmless one may share two crashed servers with them in a
 * row. After this pause the harmful ones are known, and the next trial of the harmless one clears it.
 */
const PAUSE_MILLISECONDS = 1_000;
/**
 * Servers and weights change: after this time a request that is shut out may have another trial, which costs at most
 * one server.
 */
export const SHUT_OUT_MILLISECONDS = 600_000;
/**
 * The same for a request whose servers may all have been crashed by another one that is shut out: one more trial of
 * each tells which of them is harmful.
 */
const EXPLAINED_MILLISECONDS = 5_000;

export function decideRun(facts: RunDecisionInput): RunDecision {
  const { suspicion, request, ownsTrial, isTrialExpired, millisecondsSinceLastExit, isExplainedByOthers } =
    facts;
  if (!suspicion) return 'run';
  const isRunningTrial = ownsTrial && !hasFailedTrial(suspicion, request);
  if (isRunningTrial) return 'run-as-trial';
  if (isShutOut(suspicion)) {
    const blockedFor = isExplainedByOthers ? EXPLAINED_MILLISECONDS : SHUT_OUT_MILLISECONDS;
    if (millisecondsSinceLastExit < blockedFor) return 'shut-out';
  }
  const isPausing =
    suspicion.ends.length >= EXITS_BEFORE_PAUSE && millisecondsSinceLastExit < PAUSE_MILLISECONDS;
  const isTrialTaken = suspicion.trial !== undefined && !ownsTrial && !isTrialExpired;
  return isPausing || isTrialTaken ? 'held' : 'claim-trial';
}
