/** What a runner of the platform's stand-in says of itself in the heads of its answers. */
import type http from 'node:http';
import type { PlatformRunnerFaults } from './platformRunnerFaults.js';

/** A request that has reached a runner, whether it runs or not. */
export interface Arrival {
  id: string;
  runner: string;
  /** Wall clock, in milliseconds. */
  at: number;
}

/** What an answer says; `at` is when it was given. */
export interface SentSignals extends Arrival {
  limitPerSecond: number | undefined;
  leaving: boolean;
  retryAfterMilliseconds: number;
}

const MILLISECONDS = 1_000;

/** What a runner with these faults says in an answer that turns the request away or not. */
export function sentSignals(
  faults: PlatformRunnerFaults,
  answered: Omit<Arrival, 'at'>,
  turnsAway: boolean,
): SentSignals {
  const { limitPerSecond, leaving = false, retryAfterSeconds = 0 } = faults;
  const retryAfterMilliseconds = turnsAway ? retryAfterSeconds * MILLISECONDS : 0;
  return { ...answered, at: Date.now(), limitPerSecond, leaving, retryAfterMilliseconds };
}

/** Whether an answer says anything. */
export function hasSignals({ limitPerSecond, leaving, retryAfterMilliseconds }: SentSignals): boolean {
  return limitPerSecond !== undefined || leaving || retryAfterMilliseconds > 0;
}

export function signalHeaders(spoken: SentSignals): http.OutgoingHttpHeaders {
  const headers: http.OutgoingHttpHeaders = {};
  if (spoken.limitPerSecond !== undefined) headers['server-limit'] = String(spoken.limitPerSecond);
  if (spoken.leaving) headers['server-leaving'] = '1';
  if (spoken.retryAfterMilliseconds > 0)
    headers['retry-after'] = String(spoken.retryAfterMilliseconds / MILLISECONDS);
  return headers;
}
