/**
 * Computes when a rejected caller retries. Answers the load pattern in which callers that were rejected together retry
 * together, while the shortage still lasts. Pure functions.
 */
import type { Timeliness } from './admissionPolicy.js';
import { FIRST_PRESSURE } from './reservedSlots.js';

/** Maximum wait as a share of the remaining time: a third, less a margin for the time the answer takes to arrive. */
const MAX_SHARE = 0.32;

/**
 * Minimum wait as a share of the longest: when few requests are rejected, retries are late, after the end of a surge;
 * when all are, they are spread over as much time as possible.
 */
const MIN_SHARE = 0.5;
const MIN_SHARE_OF_CROWD = 0.1;
/** Share of rejected requests above which a shortage is not momentary, as immediate retries would prolong it. */
const MOMENTARY_REJECTED_SHARE = 0.15;
/** Range of the wait of a caller that retries immediately. A new connection takes about as long. */
const IMMEDIATE_MILLISECONDS = { shortest: 10, longest: 40 };

/** A rejected request, as far as the time of its retry depends on it. */
export interface RetryTime {
  /** Milliseconds until the caller's deadline. */
  leftMilliseconds: number;
  /** No server accepts the request before this time; 0 if it is not known. */
  waitMilliseconds: number;
}

/**
 * Returns the milliseconds to wait: evenly spread, by the random number `fraction` from 0 up to 1, from `minShare` of
 * the longest wait up to all of it.
 */
export function spreadDelay(
  { leftMilliseconds, waitMilliseconds }: RetryTime,
  minShare: number,
  fraction: number,
): number {
  const maxWait = Math.max(0, leftMilliseconds) * MAX_SHARE;
  const randomWait = maxWait * (minShare + (1 - minShare) * fraction);
  return Math.round(Math.max(randomWait, Math.min(maxWait, waitMilliseconds)));
}

/** The load under which a request is rejected. */
export interface RejectionSituation {
  timeliness: Timeliness;
  /** Mean pressure of the last second. */
  pressure: number;
  /** Share of the recent requests that were rejected. */
  rejectedShare: number;
}

/**
 * Returns the milliseconds to wait: almost none for a caller that can still be on time during a momentary shortage, and
 * otherwise a wait that is the more spread out, the more requests are rejected.
 */
export function callerDelay(time: RetryTime, situation: RejectionSituation, fraction: number): number {
  const { timeliness, pressure, rejectedShare } = situation;
  const isMomentary = pressure < FIRST_PRESSURE && rejectedShare < MOMENTARY_REJECTED_SHARE;
  const { shortest, longest } = IMMEDIATE_MILLISECONDS;
  if (timeliness === 'on-time' && isMomentary && time.waitMilliseconds <= longest)
    return Math.round(shortest + (longest - shortest) * fraction);
  return spreadDelay(time, MIN_SHARE - (MIN_SHARE - MIN_SHARE_OF_CROWD) * rejectedShare, fraction);
}
