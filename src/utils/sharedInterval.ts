/** One timer for several callbacks with the same interval, so that the process wakes up once for all of them. */

export class SharedInterval {
  private readonly _milliseconds: number;
  private readonly _callbacks = new Set<() => void>();
  private _timer: NodeJS.Timeout | undefined;

  constructor(milliseconds: number) {
    this._milliseconds = milliseconds;
  }

  /**
   * Calls `run` at each interval from now on, until the returned function is called. The timer keeps the process
   * alive.
   */
  add(run: () => void): () => void {
    // A new function for each call, so that a callback that is added twice also runs twice.
    const callback = (): void => run();
    this._callbacks.add(callback);
    this._timer ??= setInterval(() => this._callAll(), this._milliseconds);
    return () => this._remove(callback);
  }

  private _callAll(): void {
    for (const run of this._callbacks) run();
  }

  private _remove(callback: () => void): void {
    this._callbacks.delete(callback);
    if (this._callbacks.size > 0) return;
    clearInterval(this._timer);
    this._timer = undefined;
  }
}
