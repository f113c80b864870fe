/** Several calls within a short time become one. */

export class CoalescedCall {
  private readonly _run: () => void;
  private readonly _milliseconds: () => number;
  private _timer: NodeJS.Timeout | undefined;

  /** `run` is called once, `milliseconds()` after the first of the calls that it stands for. */
  constructor(milliseconds: () => number, run: () => void) {
    this._milliseconds = milliseconds;
    this._run = run;
  }

  schedule(): void {
    this._timer ??= setTimeout(() => this.flush(), this._milliseconds());
  }

  /** Runs at once, also for calls that wait. */
  flush(): void {
    this.cancel();
    this._run();
  }

  cancel(): void {
    clearTimeout(this._timer);
    this._timer = undefined;
  }
}
