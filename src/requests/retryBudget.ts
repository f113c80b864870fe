/** Bounds retries to a part of the requests, so that they cannot multiply load. */
import type { Clock } from '../utils/clock.js';

const RETRIES_PER_REQUEST = 0.1;
const LARGEST_SAVING = 20;
const REFILL_PER_SECOND = 1;

/** A bucket that requests fill and retries empty. */
export class RetryBudget {
  private readonly _clock: Clock;
  private _tokens = LARGEST_SAVING;
  private _filledAt: number;

  constructor(clock: Clock) {
    this._clock = clock;
    this._filledAt = clock.now();
  }

  /** Counts a first attempt. */
  onRequest(): void {
    this._add(RETRIES_PER_REQUEST);
  }

  /** Takes the price of one retry; false when there is not enough left. */
  takeRetry(): boolean {
    const now = this._clock.now();
    this._add(((now - this._filledAt) / 1000) * REFILL_PER_SECOND);
    this._filledAt = now;
    if (this._tokens < 1) return false;
    this._tokens--;
    return true;
  }

  private _add(tokens: number): void {
    this._tokens = Math.min(LARGEST_SAVING, this._tokens + tokens);
  }
}
