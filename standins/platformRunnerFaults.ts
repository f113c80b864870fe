/** What a runner of the platform's stand-in does wrong. */

/** What a runner can be told to do wrong; shares are of requests. */
export interface PlatformRunnerFaults {
  /** Runs them and resets the connection. */
  lostShare?: number;
  /** Answers them with an error of its own. */
  failedShare?: number;
  /** Breaks their answers off. */
  brokenShare?: number;
  /** Sends a second answer after the first. */
  extraShare?: number;
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
  lostOrders?: boolean;
}

/** Ways in which a runner is ill, one at a time. */
export const SICKNESSES: readonly PlatformRunnerFaults[] = [
  { lostShare: 0.2 },
  { failedShare: 0.4 },
  { brokenShare: 0.3 },
  { extraShare: 0.3 },
  { silent: true },
  { shedding: true },
  { lostOrders: true },
];
