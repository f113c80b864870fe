/** Computes when a refused caller should retry. Pure functions. */
import { SHUT_OUT_MILLISECONDS } from '../crashes/runDecision.js';
import type { NoAttemptReason } from './noAttemptReason.js';

/** Maximum wait as a share of the remaining time: a third, less a margin for the time the answer takes to arrive. */
const MAX_SHARE = 0.32;
/** Minimum wait as a share of the maximum wait; the range spreads out callers that were refused together. */
const MIN_SHARE = 0.5;

/**
 * Returns the milliseconds to wait before retrying a request that was refused for `reason` and has `leftMilliseconds`
 * left. `fraction` is a random number from 0 up to 1; no server accepts the request before `waitMilliseconds`. A
 * short wait would not help: load bursts, version switches and lost servers last for seconds, and an answer is as
 * useful to the caller later, as long as it comes before the deadline.
 */
export function computeRetryAfter(
  reason: NoAttemptReason,
  leftMilliseconds: number,
  fraction: number,
  waitMilliseconds = 0,
): number {
  if (reason === 'ends servers') return SHUT_OUT_MILLISECONDS;
  const maxWait = Math.max(0, leftMilliseconds) * MAX_SHARE;
  const randomWait = maxWait * (MIN_SHARE + (1 - MIN_SHARE) * fraction);
  return Math.round(Math.max(randomWait, Math.min(maxWait, waitMilliseconds)));
}
