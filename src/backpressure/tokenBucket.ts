/** A token bucket for the requests that this entry may send to one server. */
import type { Clock } from '../utils/clock.js';

/** Most tokens, as the rate of so long a time. */
const BURST_SECONDS = 0.5;
const MILLISECONDS = 1_000;

/** Begins empty: entries that are told of a limit at one moment, or that start again, do not each send a burst. */
export class TokenBucket {
  private readonly _clock: Clock;
  private _perSecond = 0;
  private _tokens = 0;
  private _countedAt: number;

  constructor(clock: Clock) {
    this._clock = clock;
    this._countedAt = clock.now();
  }

  /** From now on so many requests a second are allowed. */
  setRate(perSecond: number): void {
    this._count();
    this._perSecond = perSecond;
    this._tokens = Math.min(this._tokens, this._most);
  }

  /** Milliseconds until a request may be sent, 0 when it may be now. */
  get waitMilliseconds(): number {
    this._count();
    if (this._tokens >= 1) return 0;
    return ((1 - this._tokens) / this._perSecond) * MILLISECONDS;
  }

  /** A request is sent, be it out of turn. */
  take(): void {
    this._count();
    this._tokens = Math.max(0, this._tokens - 1);
  }

  private get _most(): number {
    return Math.max(1, this._perSecond * BURST_SECONDS);
  }

  private _count(): void {
    const now = this._clock.now();
    const gained = ((now - this._countedAt) / MILLISECONDS) * this._perSecond;
    this._tokens = Math.min(this._most, this._tokens + gained);
    this._countedAt = now;
  }
}
