/** What a planned stop of the entry means for one request: whether it may still be sent to a server. */
import type { DrainVerdict } from '../draining/drainAdmission.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { EntryDrain } from './entryDrain.js';
import type { EndFields } from './requestTrace.js';

export class RequestDrain {
  private readonly _drain: EntryDrain;
  private readonly _request: AdmittedRequest;
  private _endHolding: (() => void) | undefined;
  /** The verdict on which the request was first sent to a server. */
  private _taken: DrainVerdict | undefined;

  constructor(drain: EntryDrain, request: AdmittedRequest) {
    this._drain = drain;
    this._request = request;
  }

  /** Whether nothing of the answer may be sent to the caller before the whole answer has come. */
  get isHeld(): boolean {
    return this._endHolding !== undefined;
  }

  /** Milliseconds after which the caller should retry at the earliest; 0 while the entry is not leaving. */
  get minimumRetryDelay(): number {
    return this._drain.isLeaving ? this._drain.retryAfterMilliseconds : 0;
  }

  /** Whether the request may be sent to a server now. `hasBegun`: its caller has been sent a part of the answer. */
  canSend(hasBegun: boolean): boolean {
    // Without another server, what the caller has been sent would be cut off for certain.
    return hasBegun || this.isHeld || this._decide().decision !== 'reject';
  }

  /** Like {@link RequestDrain.canSend}, for a request that is sent at once: decides whether its answer is held. */
  begin(hasBegun: boolean): boolean {
    if (hasBegun || this.isHeld) return true;
    const verdict = this._decide();
    if (verdict.decision === 'reject') return false;
    if (verdict.decision === 'hold') this._endHolding = this._drain.beginHolding(this._request.service);
    this._taken ??= verdict;
    return true;
  }

  /** The request has ended. Returns the log fields that tell on what it was taken, and what was left at its end. */
  onEnded(): EndFields {
    this._endHolding?.();
    if (!this._drain.isLeaving) return {};
    const { basis, closesInMilliseconds = Number.POSITIVE_INFINITY } = this._taken ?? {};
    const now = this._decide();
    return {
      takenOn: this.isHeld ? 'held' : basis,
      takenClosesInMilliseconds: Number.isFinite(closesInMilliseconds)
        ? Math.round(closesInMilliseconds)
        : undefined,
      closesInMilliseconds: Math.round(now.closesInMilliseconds),
      deadlineMilliseconds: Math.round(now.deadlineMilliseconds),
    };
  }

  private _decide(): DrainVerdict {
    return this._drain.decide(this._request);
  }
}
