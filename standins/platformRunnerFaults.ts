/** Faults of the runner stand-in. */

/** Faults that can be injected. Each share is the fraction of requests that are affected. */
export interface PlatformRunnerFaults {
  /** Runs the request, then closes the connection without an answer. */
  lostAnswerShare?: number;
  /** Runs the request, then answers with status 500. */
  errorShare?: number;
  /** Closes the connection in the middle of the answer. */
  truncatedShare?: number;
  /** Sends a second, unrequested answer after the first. */
  extraAnswerShare?: number;
  /** Never answers, not even reports and orders. */
  silent?: boolean;
  /** Rejects all requests with status 503. */
  shedding?: boolean;
  /** Rejects this share of requests with status 503. */
  sheddingShare?: number;
  /** Value of the Retry-After header of rejections, in seconds. */
  retryAfterSeconds?: number;
  /** Sends this limit, in requests per second, with all answers to requests. */
  limitPerSecond?: number;
  /** Announces in all answers to requests that it is leaving. */
  leaving?: boolean;
  /** Sends answers with neither a length nor chunks, which end with their connection. */
  unframedShare?: number;
  /** Sends such answers, and resets their connection behind a part of the body. */
  resetShare?: number;
  /** Closes the connection after an answer, and says so in its head. */
  closingShare?: number;
  /** Sends streams in all forms, and resets the connections of this share of them midway. */
  streamResetShare?: number;
  /** Executes orders, but closes the connection without an answer. */
  lostOrderAnswers?: boolean;
}

/** Faults that are injected one at a time. */
export const RUNNER_FAULTS: readonly PlatformRunnerFaults[] = [
  { lostAnswerShare: 0.2 },
  { errorShare: 0.4 },
  { truncatedShare: 0.3 },
  { extraAnswerShare: 0.3 },
  { silent: true },
  { shedding: true },
  { lostOrderAnswers: true },
];

/** Answers that end with their connection, some of them by a reset, and others that close it. */
export const ODD_ANSWER_ENDS: PlatformRunnerFaults = {
  unframedShare: 0.3,
  resetShare: 0.2,
  closingShare: 0.2,
};
