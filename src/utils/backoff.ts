/** Exponential back-off with full jitter. */
import type { Random } from './random.js';

/** Bounds of a back-off, in milliseconds. */
export interface BackoffOptions {
  firstMilliseconds: number;
  longestMilliseconds: number;
}

/** Counts failures and says how long to wait before the next try. */
export class Backoff {
  private readonly _options: BackoffOptions;
  private readonly _random: Random;
  private _failures = 0;

  constructor(options: BackoffOptions, random: Random) {
    this._options = options;
    this._random = random;
  }

  /** Counts a failure and returns the wait before the next try, in milliseconds. */
  nextWait(): number {
    const ceiling = Math.min(
      this._options.longestMilliseconds,
      this._options.firstMilliseconds * 2 ** this._failures,
    );
    this._failures++;
    return ceiling / 2 + (this._random.fraction() * ceiling) / 2;
  }

  /** Forgets earlier failures. */
  reset(): void {
    this._failures = 0;
  }
}
