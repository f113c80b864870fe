/** Merges several calls within a short time into one. */

export class CoalescedCall {
  private readonly _run: () => void;
  private readonly _milliseconds: () => number;
  private _timer: NodeJS.Timeout | undefined;

  /** `run` is called `milliseconds()` after the first call of `schedule`; calls of `schedule` until then are merged. */
  constructor(milliseconds: () => number, run: () => void) {
    this._milliseconds = milliseconds;
    this._run = run;
  }

  schedule(): void {
    this._timer ??= setTimeout(() => this.flush(), this._milliseconds());
  }

  /** Calls `run` now, in place of any scheduled call. */
  flush(): void {
    this.cancel();
    this._run();
  }

  cancel(): void {
    clearTimeout(this._timer);
    this._timer = undefined;
  }
}
