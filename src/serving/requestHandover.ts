/** The handover of one request: another server is asked for the rest of its stream, while the first one goes on. */
import type { AdmittedRequest } from './admittedRequest.js';
import type { BackendCall, BackendCallListener, CallFailure } from './backendCall.js';
import type { ForwardingContext } from './forwardingContext.js';
import { noAttemptReasonOf } from './noAttemptReason.js';
import type { RequestAttempts } from './requestAttempts.js';
import type { RequestTrace } from './requestTrace.js';
import { StreamHandover } from './streamHandover.js';
import type { TrackedServer } from './trackedServer.js';

/** Hears what comes of a handover. */
export interface HandoverListener {
  /** Hears the call from when it is followed. */
  callListener(server: TrackedServer): BackendCallListener;
  /** The other server has been asked. */
  onSent(server: TrackedServer): void;
  /** It has sent an event of the call that began at `startedAt`. */
  onReady(call: BackendCall, startedAt: number): void;
  onFailed(server: TrackedServer, failure: CallFailure, startedAt: number): void;
}

export class RequestHandover {
  private readonly _context: ForwardingContext;
  private readonly _request: AdmittedRequest;
  private readonly _attempts: RequestAttempts;
  private readonly _trace: RequestTrace;
  private readonly _listener: HandoverListener;
  private _handover: StreamHandover | undefined;

  constructor(
    context: ForwardingContext,
    request: AdmittedRequest,
    attempts: RequestAttempts,
    trace: RequestTrace,
    listener: HandoverListener,
  ) {
    this._context = context;
    this._request = request;
    this._attempts = attempts;
    this._trace = trace;
    this._listener = listener;
  }

  get isUnderWay(): boolean {
    return this._handover !== undefined;
  }

  /** Asks a server other than `from` for what follows `lastEventId`, if there is one and the bounds allow it. */
  begin(from: TrackedServer, lastEventId: string): void {
    const found = this._attempts.find(true);
    if (found.kind === 'none') return this._trace.notHandedOver(from, noAttemptReasonOf(found)!);
    const refused = this._attempts.takeRetry(true);
    if (refused) return this._trace.notHandedOver(from, refused);
    this._trace.retried();
    const { server } = found;
    const startedAt = this._context.clock.now();
    this._handover = StreamHandover.begin({
      server,
      request: this._attempts.outgoing(server, lastEventId),
      names: this._context.names,
      requestId: this._request.exchange.requestId,
      model: this._request.model,
      listener: this._listener.callListener(server),
      onReady: (call) => {
        this._handover = undefined;
        this._listener.onReady(call, startedAt);
      },
      onFailed: (failure) => {
        this._handover = undefined;
        this._listener.onFailed(server, failure, startedAt);
      },
    });
    if (this._handover) this._listener.onSent(server);
  }

  cancel(): void {
    this._handover?.cancel();
  }
}
