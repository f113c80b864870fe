/** Reasons for which a request is not sent to another server at the moment. */
import type { ServerSelection } from './serverPool.js';

/**
 * - `attempts used`: the maximum number of attempts of its route has been made.
 * - `retry budget`: this entry's share of the retries is used up.
 * - `asked just now`: a server has just said that it has not run the request.
 * - `no server`: no server is left to try.
 * - `no permitted server`: all servers are outside of the request's home regions, or in evacuated data centres.
 * - `all busy`: no server has capacity.
 * - `reserved`: the free slots are reserved for requests that come before this one.
 * - `old version`: no server has a version on which the request may still begin.
 * - `servers at limit`: all servers are at the request rate that they accept from this entry.
 * - `time`: too little time is left for another attempt.
 * - `leaving`: this entry shuts down, and the request may not end before it closes its connections.
 * - `ends servers`: the same request has crashed several servers and is no longer run.
 * - `internal error`: the attempt could not be made because of an error of this process, which is logged.
 */
export type NoAttemptReason =
  | 'attempts used'
  | 'retry budget'
  | 'asked just now'
  | 'no server'
  | 'no permitted server'
  | 'all busy'
  | 'reserved'
  | 'old version'
  | 'servers at limit'
  | 'time'
  | 'leaving'
  | 'ends servers'
  | 'internal error';

/** Reasons that may cease to apply while the caller waits. */
const TRANSIENT_REASONS: ReadonlySet<NoAttemptReason> = new Set([
  'retry budget',
  'asked just now',
  'no server',
  'no permitted server',
  'all busy',
  'reserved',
  'old version',
  'servers at limit',
]);
const REASON_BY_CHOICE = {
  'no-server': 'no server',
  'not-permitted': 'no permitted server',
  'all-busy': 'all busy',
  reserved: 'reserved',
  'old-version': 'old version',
  'at-limit': 'servers at limit',
} as const;

/** Returns the reason for which no server was found, undefined when one was found. */
export function noAttemptReasonOf(found: ServerSelection): NoAttemptReason | undefined {
  return found.kind === 'none' ? REASON_BY_CHOICE[found.reason] : undefined;
}

/** Whether another attempt may become possible by waiting. */
export function isTransient(reason: NoAttemptReason): boolean {
  return TRANSIENT_REASONS.has(reason);
}
