/**
 * The requests that wait for a slot at this entry, in the order in which they get one: the most urgent rank first, then
 * the least time left. Answers the load pattern in which a slot becomes free a few milliseconds after a request was
 * rejected. Performs no I/O; the caller ends each wait at its time.
 */

/** Bound for the number of waiting requests; at 8 requests a second, more than half a second of arrivals. */
const MAX_WAITING = 16;

export interface WaitingRequest {
  rank: number;
  /** Monotonic milliseconds at which the request can no longer meet its objective. */
  objectiveEndsAt: number;
  /** Looks for a slot. A request that gets one is removed with {@link WaitingRequests.remove}. */
  tryAgain: () => void;
  /** Ends the wait without a slot; the request is removed already. */
  giveUp: () => void;
}

export class WaitingRequests {
  private readonly _waiting: WaitingRequest[] = [];
  private _isClosed = false;

  get count(): number {
    return this._waiting.length;
  }

  /** Whether the entry stops, so that no request may wait. */
  get isClosed(): boolean {
    return this._isClosed;
  }

  /** Adds a request. When too many wait, the last one in order gives up; false if that is the new one. */
  add(request: WaitingRequest): boolean {
    if (this._isClosed) return false;
    this._waiting.push(request);
    this._waiting.sort((a, b) => a.rank - b.rank || a.objectiveEndsAt - b.objectiveEndsAt);
    if (this._waiting.length <= MAX_WAITING) return true;
    const last = this._waiting.pop()!;
    if (last === request) return false;
    last.giveUp();
    return true;
  }

  remove(request: WaitingRequest): void {
    const index = this._waiting.indexOf(request);
    if (index >= 0) this._waiting.splice(index, 1);
  }

  /** Has all waiting requests look for a slot, in order, as there may be one now. */
  wake(): void {
    for (const request of [...this._waiting]) if (this._waiting.includes(request)) request.tryAgain();
  }

  /** Ends all waits; no request may wait from now on. */
  close(): void {
    this._isClosed = true;
    for (const request of this._waiting.splice(0)) request.giveUp();
  }
}
