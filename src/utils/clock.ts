/** Monotonic clocks. Code that depends on time takes a Clock, so that tests can control it. */

/** A monotonic clock. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never decreases. */
  now(): number;
}

/** The monotonic clock of this process. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }
}

/** A clock for tests that changes only when `advance` is called. */
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
