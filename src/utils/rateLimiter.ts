/** Paces bytes on a link. */
import type { Clock } from './clock.js';
import { SystemClock } from './clock.js';
import { pause } from './timers.js';

/** How far a sender may run ahead of the rate, so that timers of one millisecond do not cost throughput. */
const BURST_MILLISECONDS = 8;

/** Spreads bytes over time at a fixed rate; waiting callers are served in the order in which they asked. */
export class RateLimiter {
  private readonly _bytesPerMillisecond: number;
  private readonly _clock: Clock;
  private _freeAt = 0;

  /** `bytesPerSecond` of 0 means unlimited. */
  constructor(bytesPerSecond: number, clock: Clock = new SystemClock()) {
    this._bytesPerMillisecond = bytesPerSecond / 1000;
    this._clock = clock;
  }

  /** Books `bytes` and returns how many milliseconds the caller has to wait before moving them. */
  reserve(bytes: number): number {
    if (this._bytesPerMillisecond === 0) return 0;
    const now = this._clock.now();
    this._freeAt = Math.max(this._freeAt, now - BURST_MILLISECONDS) + bytes / this._bytesPerMillisecond;
    return Math.max(0, this._freeAt - now);
  }

  /** Waits until `bytes` may be moved. */
  async acquire(bytes: number, signal?: AbortSignal): Promise<void> {
    const wait = this.reserve(bytes);
    if (wait >= 1) await pause(wait, signal);
  }
}
