/** Why a request is not sent to another server now. */
import type { ServerSelection } from './serverPool.js';

/**
 * - `attempts used`: as many servers as its route allows may have run it.
 * - `retry budget`: the share of retries is used up.
 * - `asked just now`: one has just said that it has not run it.
 * - `no server`: none is left to ask.
 * - `all busy`: none has room.
 * - `old version`: none is of a version on which it may begin.
 * - `servers at limit`: none takes one more from this entry now.
 * - `time`: too little is left for another attempt.
 * - `ends servers`: the same request has ended several servers, and runs no more.
 */
export type NoAttempt =
  | 'attempts used'
  | 'retry budget'
  | 'asked just now'
  | 'no server'
  | 'all busy'
  | 'old version'
  | 'servers at limit'
  | 'time'
  | 'ends servers';

/** What may change while a caller waits. */
const PASSING: ReadonlySet<NoAttempt> = new Set([
  'retry budget',
  'asked just now',
  'no server',
  'all busy',
  'old version',
  'servers at limit',
]);
const OF_CHOICE = {
  'no-server': 'no server',
  'all-busy': 'all busy',
  'old-version': 'old version',
  'at-limit': 'servers at limit',
} as const;

/** The same for a choice that found no server; undefined when it found one. */
export function noAttemptOf(found: ServerSelection): NoAttempt | undefined {
  return found.kind === 'none' ? OF_CHOICE[found.reason] : undefined;
}

/** Whether it is worth waiting for another attempt. */
export function mayPass(reason: NoAttempt): boolean {
  return PASSING.has(reason);
}
