/** Decides whether a process that is shutting down may still start a request, by what is certain about it. */
import type { ClosingTime } from './closingTime.js';

/**
 * - `admit`: the request ends before the connections are closed, by its deadline if by nothing else.
 * - `hold`: the request may be started, but nothing of its answer may be sent before the whole answer has come. If it
 *   does not come in time, the caller gets an error instead of a part of it.
 * - `reject`: neither is possible.
 */
export type DrainDecision = 'admit' | 'hold' | 'reject';

/** What the decision rests on; `before leaving` if the process is not shutting down. */
export type DrainBasis = 'before leaving' | 'deadline' | 'held';

export interface DrainedRequest {
  service: string;
  /** Milliseconds until the caller gives up or the route's timeout; infinite for neither. */
  deadlineMilliseconds: number;
  /** Milliseconds that an answer of the length that the caller permits takes at least; undefined if not known. */
  shortestMilliseconds: number | undefined;
  /** Whether the request may run again elsewhere as long as no part of its answer has been sent. */
  repeatable: boolean;
}

export interface DrainVerdict {
  decision: DrainDecision;
  basis: DrainBasis;
  /** Milliseconds until the request's deadline. */
  deadlineMilliseconds: number;
  /** Milliseconds until the connections are closed; infinite if the process is not shutting down. */
  closesInMilliseconds: number;
}

/** Never relies on how long requests took recently: servers may become slower after a request has been started. */
export class DrainAdmission {
  private readonly _closing: ClosingTime;
  private readonly _isOnlyProcess: () => boolean;
  /** Number of held requests by service. */
  private readonly _held = new Map<string, number>();

  /** `isOnlyProcess` tells whether callers have no other process to turn to. */
  constructor(closing: ClosingTime, isOnlyProcess: () => boolean) {
    this._closing = closing;
    this._isOnlyProcess = isOnlyProcess;
  }

  decide(request: DrainedRequest): DrainVerdict {
    const closesInMilliseconds = this._closing.leftMilliseconds;
    const { deadlineMilliseconds } = request;
    const times = { deadlineMilliseconds, closesInMilliseconds };
    if (!this._closing.isSet) return { decision: 'admit', basis: 'before leaving', ...times };
    if (deadlineMilliseconds <= closesInMilliseconds)
      return { decision: 'admit', basis: 'deadline', ...times };
    if (this._mayHold(request)) return { decision: 'hold', basis: 'held', ...times };
    return { decision: 'reject', basis: 'deadline', ...times };
  }

  /** A request is held; the returned function ends that. */
  beginHolding(service: string): () => void {
    this._held.set(service, this._heldOf(service) + 1);
    let isHeld = true;
    return () => {
      if (isHeld) this._held.set(service, this._heldOf(service) - 1);
      isHeld = false;
    };
  }

  /**
   * Other processes answer sooner than one that holds the answer back. So one request of a service is held at a time, for
   * callers that know no other process, unless there is none.
   */
  private _mayHold({ service, shortestMilliseconds, repeatable }: DrainedRequest): boolean {
    const mayEnd = (shortestMilliseconds ?? 0) <= this._closing.leftMilliseconds;
    if (!repeatable || !mayEnd) return false;
    return this._isOnlyProcess() || (shortestMilliseconds !== undefined && this._heldOf(service) === 0);
  }

  private _heldOf(service: string): number {
    return this._held.get(service) ?? 0;
  }
}
