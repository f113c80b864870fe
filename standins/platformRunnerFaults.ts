/** What a runner of the platform's stand-in does wrong. */

/** What a runner can be told to do wrong; shares are of requests. */
export interface PlatformRunnerFaults {
  /** Runs them and resets the connection. */
  resetShare?: number;
  /** Answers them with an error of its own. */
  errorShare?: number;
  /** Breaks their answers off. */
  truncatedShare?: number;
  /** Sends a second answer after the first. */
  extraAnswerShare?: number;
  /** Never answers anything. */
  silent?: boolean;
  /** Turns everything away. */
  shedding?: boolean;
  /** Turns this share of requests away. */
  sheddingShare?: number;
  /** Seconds of Retry-After where it turns a request away. */
  retryAfterSeconds?: number;
  /** Names a limit of so many requests a second in all answers to requests. */
  limitPerSecond?: number;
  /** Says in all answers to requests that it leaves. */
  leaving?: boolean;
  /** Loses the answers to orders that it carries out. */
  lostOrderAnswers?: boolean;
}

/** Ways in which a runner is ill, one at a time. */
export const RUNNER_FAULTS: readonly PlatformRunnerFaults[] = [
  { resetShare: 0.2 },
  { errorShare: 0.4 },
  { truncatedShare: 0.3 },
  { extraAnswerShare: 0.3 },
  { silent: true },
  { shedding: true },
  { lostOrderAnswers: true },
];
