/** Hands over the stream of a request: asks another server for the rest while the first one goes on sending. */
import { handoverDelay } from './answerClassification.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { BackendCall, BackendCallListener, CallFailure } from './backendCall.js';
import type { ForwardingContext } from './forwardingContext.js';
import { noAttemptReasonOf } from './noAttemptReason.js';
import type { RequestAttempts } from './requestAttempts.js';
import type { RequestTrace } from './requestTrace.js';
import { StreamHandover } from './streamHandover.js';
import type { TrackedServer } from './trackedServer.js';

/** Receives the events of a handover. */
export interface HandoverListener {
  /** Returns the listener for the call to the other server once the handover is complete. */
  callListener(server: TrackedServer): BackendCallListener;
  /** The request has been sent to the other server. */
  onSent(server: TrackedServer): void;
  /** The other server has sent its first event; `call` began at `startedAt`. */
  onReady(call: BackendCall, startedAt: number): void;
  onFailed(server: TrackedServer, failure: CallFailure, startedAt: number): void;
}

export class RequestHandover {
  private readonly _context: ForwardingContext;
  private readonly _request: AdmittedRequest;
  private readonly _attempts: RequestAttempts;
  private readonly _trace: RequestTrace;
  private readonly _listener: HandoverListener;
  private readonly _delayMilliseconds: number;
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
    this._delayMilliseconds = handoverDelay(context.random.fraction());
  }

  get inProgress(): boolean {
    return this._handover !== undefined;
  }

  /** Whether the stream of a server that has been switching versions for so long is to be handed over. */
  isDue(switchingMilliseconds: number): boolean {
    return switchingMilliseconds > this._delayMilliseconds;
  }

  /** Asks another server for the events after `lastEventId`, if one is available and a retry is permitted. */
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
