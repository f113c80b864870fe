/** Limits the requests that this entry sends to one server. */
import type { Clock } from '../utils/clock.js';

/** Capacity of the bucket by default, as seconds of the configured rate. */
const BURST_SECONDS = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Starts empty by default, so that entries that learn a limit at the same time, or restart, do not each send a burst.
 */
export class TokenBucket {
  private readonly _clock: Clock;
  private _perSecond = 0;
  private _capacity = 1;
  private _tokens: number;
  private _refilledAt: number;

  constructor(clock: Clock, tokens = 0) {
    this._clock = clock;
    this._tokens = tokens;
    this._refilledAt = clock.now();
  }

  /** Sets the allowed requests per second, and how many may follow each other immediately. */
  setRate(perSecond: number, capacity = Math.max(1, perSecond * BURST_SECONDS)): void {
    this._refill();
    this._perSecond = perSecond;
    this._capacity = capacity;
    this._tokens = Math.min(this._tokens, this._capacity);
  }

  /** Milliseconds until a request may be sent; 0 when it may be sent now. */
  get waitMilliseconds(): number {
    this._refill();
    if (this._tokens >= 1) return 0;
    return ((1 - this._tokens) / this._perSecond) * MILLISECONDS_PER_SECOND;
  }

  /** Consumes a token for a request, also when the bucket had none left. */
  take(): void {
    this._refill();
    this._tokens = Math.max(0, this._tokens - 1);
  }

  private _refill(): void {
    const now = this._clock.now();
    const gained = ((now - this._refilledAt) / MILLISECONDS_PER_SECOND) * this._perSecond;
    this._tokens = Math.min(this._capacity, this._tokens + gained);
    this._refilledAt = now;
  }
}
