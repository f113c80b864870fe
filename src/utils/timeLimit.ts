/** A timeout of one call. Cheaper than `AbortSignal.timeout`, whose timer keeps running after the call has ended. */

export class TimeLimit {
  private readonly _controller = new AbortController();
  private readonly _timer: NodeJS.Timeout;
  private readonly _outer: AbortSignal | undefined;
  private readonly _onOuter = (): void => this._controller.abort(this._outer?.reason);

  /** An abort of `outer` also aborts the call. */
  constructor(milliseconds: number, outer?: AbortSignal) {
    this._outer = outer;
    this._timer = setTimeout(
      () => this._controller.abort(new Error(`no answer within ${milliseconds} ms`)),
      milliseconds,
    );
    if (outer?.aborted) this._onOuter();
    else outer?.addEventListener('abort', this._onOuter, { once: true });
  }

  /** Aborted when the time is up or `outer` is aborted. */
  get signal(): AbortSignal {
    return this._controller.signal;
  }

  /** Clears the timer; must be called when the call has ended. */
  end(): void {
    clearTimeout(this._timer);
    this._outer?.removeEventListener('abort', this._onOuter);
  }
}
