/** The wait of a begun stream, without a connection, until it can be resumed on another server. */
import type { NoAttemptReason } from './noAttemptReason.js';
import { isTransient } from './noAttemptReason.js';
import type { RequestAttempts } from './requestAttempts.js';
import type { RequestTrace } from './requestTrace.js';
import type { StreamRelay } from './streamRelay.js';

export class StreamWait {
  private readonly _relay: StreamRelay | undefined;
  private readonly _attempts: RequestAttempts;
  private readonly _trace: RequestTrace;
  private _isWaiting = false;

  /** `relay` forwards the events when the request is a stream. */
  constructor(relay: StreamRelay | undefined, attempts: RequestAttempts, trace: RequestTrace) {
    this._relay = relay;
    this._attempts = attempts;
    this._trace = trace;
  }

  get isWaiting(): boolean {
    return this._isWaiting;
  }

  /** Starts to wait if the stream has begun and the reason is transient. Returns whether it waits. */
  begin(reason: NoAttemptReason): boolean {
    this._isWaiting = this._relay?.begun === true && this._attempts.repeatable && isTransient(reason);
    if (this._isWaiting) this._trace.waiting(reason);
    return this._isWaiting;
  }

  end(): void {
    this._isWaiting = false;
  }
}
