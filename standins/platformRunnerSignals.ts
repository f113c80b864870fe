/** Backpressure headers of the runner stand-in. */
import type http from 'node:http';
import type { PlatformRunnerFaults } from './platformRunnerFaults.js';

/** A request that a runner received, whether or not it runs. */
export interface Arrival {
  id: string;
  runner: string;
  /** Unix milliseconds. */
  at: number;
}

/** Backpressure signals of an answer. `at` is the time of the answer. */
export interface SentSignals extends Arrival {
  limitPerSecond: number | undefined;
  leaving: boolean;
  retryAfterMilliseconds: number;
  /** How long the runner remains cold; 0 when it is warm. */
  coldMilliseconds: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Returns the signals that a runner with these faults sends in an answer. */
export function sentSignals(
  faults: PlatformRunnerFaults,
  request: Omit<Arrival, 'at'>,
  isRejected: boolean,
  coldMilliseconds: number,
): SentSignals {
  const { limitPerSecond, leaving = false, retryAfterSeconds = 0 } = faults;
  const retryAfterMilliseconds = isRejected ? retryAfterSeconds * MILLISECONDS_PER_SECOND : 0;
  return { ...request, at: Date.now(), limitPerSecond, leaving, retryAfterMilliseconds, coldMilliseconds };
}

/** Returns whether an answer has any backpressure header. */
export function hasSignals(signals: SentSignals): boolean {
  const { limitPerSecond, leaving, retryAfterMilliseconds, coldMilliseconds } = signals;
  return limitPerSecond !== undefined || leaving || retryAfterMilliseconds > 0 || coldMilliseconds > 0;
}

/** Returns the headers that carry the signals. */
export function signalHeaders(signals: SentSignals): http.OutgoingHttpHeaders {
  const headers: http.OutgoingHttpHeaders = {};
  if (signals.limitPerSecond !== undefined) headers['server-limit'] = String(signals.limitPerSecond);
  if (signals.leaving) headers['server-leaving'] = '1';
  if (signals.retryAfterMilliseconds > 0)
    headers['retry-after'] = String(signals.retryAfterMilliseconds / MILLISECONDS_PER_SECOND);
  if (signals.coldMilliseconds > 0) headers['x-cold-ms'] = String(Math.ceil(signals.coldMilliseconds));
  return headers;
}
