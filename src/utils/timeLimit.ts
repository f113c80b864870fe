/** A bound on the time of one call: cheaper than `AbortSignal.timeout`, whose timers outlive the calls that they bound. */

export class TimeLimit {
  private readonly _controller = new AbortController();
  private readonly _timer: NodeJS.Timeout;
  private readonly _outer: AbortSignal | undefined;
  private readonly _onOuter = (): void => this._controller.abort(this._outer?.reason);

  /** `outer` ends the call earlier. */
  constructor(milliseconds: number, outer?: AbortSignal) {
    this._outer = outer;
    this._timer = setTimeout(
      () => this._controller.abort(new Error(`no answer within ${milliseconds} ms`)),
      milliseconds,
    );
    if (outer?.aborted) this._onOuter();
    else outer?.addEventListener('abort', this._onOuter, { once: true });
  }

  /** Aborted when the time is over. */
  get signal(): AbortSignal {
    return this._controller.signal;
  }

  /** Must be called when the call has ended. */
  end(): void {
    clearTimeout(this._timer);
    this._outer?.removeEventListener('abort', this._onOuter);
  }
}
