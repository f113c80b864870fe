/** When a process that is shutting down closes its connections. */
import type { Clock } from '../utils/clock.js';

/** A point on the monotonic clock of the process; not set until the shutdown begins. */
export class ClosingTime {
  private readonly _clock: Clock;
  private _closesAt = Number.POSITIVE_INFINITY;

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Whether the shutdown has begun. */
  get isSet(): boolean {
    return Number.isFinite(this._closesAt);
  }

  /** Milliseconds until the connections are closed, negative afterwards; infinite until the shutdown begins. */
  get leftMilliseconds(): number {
    return this._closesAt - this._clock.now();
  }

  /** Begins the shutdown: connections are closed after `milliseconds`. */
  closeIn(milliseconds: number): void {
    this._closesAt = this._clock.now() + milliseconds;
  }
}
