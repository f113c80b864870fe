/** Bounds retries to a part of the requests, so that they cannot multiply load. */
import type { Clock } from '../utils/clock.js';

const TOKENS_PER_REQUEST = 0.1;
const MAX_TOKENS = 20;
const TOKENS_PER_SECOND = 1;

/** A bucket that requests fill and retries empty. */
export class RetryBudget {
  private readonly _clock: Clock;
  private _tokens = MAX_TOKENS;
  private _refilledAt: number;

  constructor(clock: Clock) {
    this._clock = clock;
    this._refilledAt = clock.now();
  }

  /** Counts a first attempt. */
  onRequest(): void {
    this._add(TOKENS_PER_REQUEST);
  }

  /** Takes the price of one retry; false when there is not enough left. */
  takeRetry(): boolean {
    const now = this._clock.now();
    this._add(((now - this._refilledAt) / 1000) * TOKENS_PER_SECOND);
    this._refilledAt = now;
    if (this._tokens < 1) return false;
    this._tokens--;
    return true;
  }

  private _add(tokens: number): void {
    this._tokens = Math.min(MAX_TOKENS, this._tokens + tokens);
  }
}
