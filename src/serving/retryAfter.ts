/** When a caller that was refused should come back. Pure. */
import { SHUT_OUT_MILLISECONDS } from '../crashes/standing.js';
import type { NoAttemptReason } from './noAttemptReason.js';

/** Callers wait no longer than a third of the time that they have left, which is a little less at their end. */
const MAX_SHARE = 0.32;
/** The shortest advice, in parts of the longest: callers that were refused together come back apart. */
const MIN_SPREAD = 0.5;

/**
 * Milliseconds to wait, for a request that was refused for `reason` and has `leftMilliseconds` left; `fraction` is a random number from 0 up to 1. A
 * server without room has none a moment later either: bursts, switches and losses last for seconds, and an answer to
 * the new attempt is worth as much late as soon. No server takes it before `waitMilliseconds`.
 */
export function computeRetryAfter(
  reason: NoAttemptReason,
  leftMilliseconds: number,
  fraction: number,
  waitMilliseconds = 0,
): number {
  if (reason === 'ends servers') return SHUT_OUT_MILLISECONDS;
  const longest = Math.max(0, leftMilliseconds) * MAX_SHARE;
  const spread = longest * (MIN_SPREAD + (1 - MIN_SPREAD) * fraction);
  return Math.round(Math.max(spread, Math.min(longest, waitMilliseconds)));
}
