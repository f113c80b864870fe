/** Limits retries to a fraction of the requests, so that retries cannot multiply the load during an outage. */
import type { Clock } from '../utils/clock.js';

const TOKENS_PER_REQUEST = 0.1;
const MAX_TOKENS = 20;
const TOKENS_PER_SECOND = 1;

/** Token bucket: each request adds a fraction of a token, each retry takes one, and tokens are also added over time. */
export class RetryBudget {
  private readonly _clock: Clock;
  private _tokens = MAX_TOKENS;
  private _refilledAt: number;

  constructor(clock: Clock) {
    this._clock = clock;
    this._refilledAt = clock.now();
  }

  /** Counts a request. */
  onRequest(): void {
    this._add(TOKENS_PER_REQUEST);
  }

  /** Takes the token for a retry; false when none is left. */
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
