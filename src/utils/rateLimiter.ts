/** Limits the rate of bytes on a link. */
import type { Clock } from './clock.js';
import { SystemClock } from './clock.js';
import { pause } from './timers.js';

/** Allowed burst in milliseconds of traffic; without it, the 1 ms resolution of timers would reduce throughput. */
const BURST_MILLISECONDS = 8;

/** Spreads bytes over time at a fixed rate and serves callers in the order of their calls. */
export class RateLimiter {
  private readonly _bytesPerMillisecond: number;
  private readonly _clock: Clock;
  private _freeAt = 0;

  /** A `bytesPerSecond` of 0 means no limit. */
  constructor(bytesPerSecond: number, clock: Clock = new SystemClock()) {
    this._bytesPerMillisecond = bytesPerSecond / 1000;
    this._clock = clock;
  }

  /** Reserves capacity for `bytes` and returns the milliseconds to wait before they may be transferred. */
  reserve(bytes: number): number {
    if (this._bytesPerMillisecond === 0) return 0;
    const now = this._clock.now();
    this._freeAt = Math.max(this._freeAt, now - BURST_MILLISECONDS) + bytes / this._bytesPerMillisecond;
    return Math.max(0, this._freeAt - now);
  }

  /** Waits until `bytes` may be transferred, or until `signal` is aborted. */
  async acquire(bytes: number, signal?: AbortSignal): Promise<void> {
    const wait = this.reserve(bytes);
    if (wait >= 1) await pause(wait, signal);
  }
}
