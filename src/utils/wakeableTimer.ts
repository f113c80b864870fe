/**
 * A wait that another event can end. Cheaper than a wait that an `AbortSignal` ends, which adds and removes a listener
 * each time.
 */
export class WakeableTimer {
  private _timer: NodeJS.Timeout | undefined;
  private _resolve: (() => void) | undefined;

  /** Resolves after `milliseconds`, or at the next call of `wake`. Must not be called while another wait is pending. */
  async wait(milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this._resolve = resolve;
      this._timer = setTimeout(resolve, milliseconds);
    });
    this._resolve = undefined;
  }

  /** Ends a pending wait. Without one it has no effect. */
  wake(): void {
    clearTimeout(this._timer);
    this._resolve?.();
  }
}
