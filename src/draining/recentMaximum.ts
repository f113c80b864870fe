/** The largest value of the last seconds. */

interface Interval {
  /** Monotonic milliseconds. */
  startedAt: number;
  maximum: number;
  count: number;
}

/** Keeps each value for one to two intervals, in constant memory. */
export class RecentMaximum {
  private readonly _intervalMilliseconds: number;
  private _current: Interval | undefined;
  private _previous: Interval | undefined;

  constructor(intervalMilliseconds: number) {
    this._intervalMilliseconds = intervalMilliseconds;
  }

  /** Adds a value at `now`, in monotonic milliseconds. */
  add(value: number, now: number): void {
    this._expire(now);
    this._current ??= { startedAt: now, maximum: value, count: 0 };
    this._current.maximum = Math.max(this._current.maximum, value);
    this._current.count++;
  }

  /** The largest of the values that are kept at `now`; undefined if there are fewer than `minimumCount`. */
  at(now: number, minimumCount = 1): number | undefined {
    this._expire(now);
    const kept = [this._current, this._previous].filter((interval) => interval !== undefined);
    if (kept.reduce((sum, { count }) => sum + count, 0) < minimumCount) return undefined;
    return Math.max(...kept.map(({ maximum }) => maximum));
  }

  private _expire(now: number): void {
    const interval = this._intervalMilliseconds;
    if (this._current && now - this._current.startedAt >= interval) {
      this._previous = this._current;
      this._current = undefined;
    }
    if (this._previous && now - this._previous.startedAt >= 2 * interval) this._previous = undefined;
  }
}
