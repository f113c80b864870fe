/** One timer for many who want to be called at the same interval, so that a process wakes once for all of them. */

export class SharedInterval {
  private readonly _milliseconds: number;
  private readonly _runs = new Set<() => void>();
  private _timer: NodeJS.Timeout | undefined;

  constructor(milliseconds: number) {
    this._milliseconds = milliseconds;
  }

  /** Calls `run` at each interval from now on; the returned function ends that. The timer keeps the process alive. */
  add(run: () => void): () => void {
    // one that is added twice is called twice
    const entry = (): void => run();
    this._runs.add(entry);
    this._timer ??= setInterval(() => this._runAll(), this._milliseconds);
    return () => this._remove(entry);
  }

  private _runAll(): void {
    for (const run of this._runs) run();
  }

  private _remove(entry: () => void): void {
    this._runs.delete(entry);
    if (this._runs.size > 0) return;
    clearInterval(this._timer);
    this._timer = undefined;
  }
}
