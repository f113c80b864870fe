/** Time as the system sees it; decisions take a Clock so that tests can set the time. */

/** A source of monotonic milliseconds. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  now(): number;
}

/** The monotonic clock of this process. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }
}

/** A clock that moves only when told to. */
export class ManualClock implements Clock {
  private _now = 0;

  now(): number {
    return this._now;
  }

  /** Moves the clock forward by `milliseconds`. */
  advance(milliseconds: number): void {
    this._now += milliseconds;
  }
}
