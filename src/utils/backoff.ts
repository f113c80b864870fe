/** Exponential backoff with jitter. */
import type { Random } from './random.js';

/** First and longest wait of a backoff, in milliseconds. */
export interface BackoffOptions {
  firstMilliseconds: number;
  longestMilliseconds: number;
}

/** Counts failures and computes the wait before the next try. */
export class Backoff {
  private readonly _options: BackoffOptions;
  private readonly _random: Random;
  private _failures = 0;

  constructor(options: BackoffOptions, random: Random) {
    this._options = options;
    this._random = random;
  }

  /** Counts a failure and returns the wait before the next try, in milliseconds: half to all of the current maximum. */
  nextWait(): number {
    const maximum = Math.min(
      this._options.longestMilliseconds,
      this._options.firstMilliseconds * 2 ** this._failures,
    );
    this._failures++;
    return maximum / 2 + (this._random.fraction() * maximum) / 2;
  }

  /** Resets the failure count after a success. */
  reset(): void {
    this._failures = 0;
  }
}
