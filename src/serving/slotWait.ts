/** The wait of one request for a slot: bounded in time, and at most one for a request. */
import type { WaitingRequest, WaitingRequests } from '../admission/waitingRequests.js';

export class SlotWait {
  private readonly _all: WaitingRequests;
  private _request: WaitingRequest | undefined;
  private _timer: NodeJS.Timeout | undefined;
  private _hasWaited = false;

  constructor(all: WaitingRequests) {
    this._all = all;
  }

  get isWaiting(): boolean {
    return this._request !== undefined;
  }

  /** Begins the wait unless the request has waited before, or too many wait. Returns whether it waits now. */
  begin(request: WaitingRequest, milliseconds: number): boolean {
    if (this._hasWaited || milliseconds <= 0) return false;
    this._hasWaited = true;
    const giveUp = (): void => {
      this.end();
      request.giveUp();
    };
    const waiting = { ...request, giveUp };
    if (!this._all.add(waiting)) return false;
    this._request = waiting;
    this._timer = setTimeout(giveUp, milliseconds);
    return true;
  }

  /** Ends the wait, if there is one. */
  end(): void {
    clearTimeout(this._timer);
    if (this._request) this._all.remove(this._request);
    this._request = undefined;
  }
}
