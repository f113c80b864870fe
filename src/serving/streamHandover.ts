/** Moves a stream to another server without a pause: the first server keeps sending until the second has started. */
import { recordAnswerHead } from './answerHead.js';
import { classifyAnswer } from './answerClassification.js';
import type { AnswerHeaders, BackendCallListener, BackendRequest, CallFailure } from './backendCall.js';
import { BackendCall } from './backendCall.js';
import type { HeaderNames } from './headerNames.js';
import type { TrackedServer } from './trackedServer.js';

export interface StreamHandoverOptions {
  server: TrackedServer;
  /** Request for the events after the last one sent to the caller. */
  request: BackendRequest;
  names: HeaderNames;
  requestId: string;
  /** Name of the model, '' for requests without one. */
  model: string;
  /** Receives the whole answer of the second server, from its head on, once that server has sent its first event. */
  listener: BackendCallListener;
  /** The second server has sent its first event; `call` now replaces the call to the first server. */
  onReady: (call: BackendCall) => void;
  /** The second server failed, or timed out, before its first event. */
  onFailed: (failure: CallFailure) => void;
}

/**
 * Timeout for the first event of the second server. It is shorter than the margin that entries keep before the
 * version deadline.
 */
export const HANDOVER_TIMEOUT_MILLISECONDS = 600;
const SUCCESS = 200;

/** A handover in progress. It ends with exactly one of `onReady`, `onFailed` and {@link StreamHandover.cancel}. */
export class StreamHandover {
  private readonly _options: StreamHandoverOptions;
  private readonly _timer: NodeJS.Timeout;
  private _call: BackendCall | undefined;
  private _headers: AnswerHeaders | undefined;
  private _state: 'waiting' | 'ready' | 'ended' = 'waiting';

  private constructor(options: StreamHandoverOptions) {
    this._options = options;
    this._timer = setTimeout(
      () => this._fail({ sent: true, reason: 'handover was silent' }),
      HANDOVER_TIMEOUT_MILLISECONDS,
    );
  }

  /** Sends the request. Returns undefined when all connections are in use, or when the call failed immediately. */
  static begin(options: StreamHandoverOptions): StreamHandover | undefined {
    const handover = new StreamHandover(options);
    options.server.streamBegan();
    handover._call = BackendCall.send(options.server, options.request, {
      onHead: (status, headers) => handover._onHead(status, headers),
      onData: (bytes) => handover._onData(bytes),
      onEnd: () => handover._onEnd(),
      onFailed: (failure) => handover._onFailed(failure),
    });
    if (handover._call) return handover._state === 'ended' ? undefined : handover;
    handover._end('ended');
    return undefined;
  }

  /** Aborts the handover. */
  cancel(): void {
    if (this._state === 'waiting') this._end('ended');
  }

  private _onHead(status: number, headers: AnswerHeaders): void {
    if (this._state !== 'waiting') return;
    const { server, names, requestId, model } = this._options;
    const isOwn = headers[names.requestId] === requestId;
    if (isOwn) recordAnswerHead(server, status, headers, names, model);
    if (isOwn && status === SUCCESS && headers[names.seal] !== undefined) {
      this._headers = headers;
      return;
    }
    const isRejected = isOwn && classifyAnswer(status, headers, names) === 'not-run';
    const reason = `status ${status} of a handover`;
    this._fail({ sent: true, reason, rejectedWith: isRejected ? status : undefined });
  }

  private _onData(bytes: Buffer): void {
    if (this._state === 'waiting') this._becomeReady(this._headers!);
    if (this._state === 'ready') this._options.listener.onData(bytes);
  }

  private _becomeReady(headers: AnswerHeaders): void {
    this._end('ready');
    this._options.onReady(this._call!);
    this._options.listener.onHead(SUCCESS, headers);
  }

  private _onEnd(): void {
    if (this._state === 'ready') return this._options.listener.onEnd();
    this._fail({ sent: true, reason: 'ended before its first event' });
  }

  private _onFailed(failure: CallFailure): void {
    if (this._state === 'ready') return this._options.listener.onFailed(failure);
    this._fail(failure);
  }

  private _fail(failure: CallFailure): void {
    if (this._state !== 'waiting') return;
    this._end('ended');
    this._options.onFailed(failure);
  }

  /** Ends the handover; `ended` also aborts the call to the second server. */
  private _end(state: 'ready' | 'ended'): void {
    this._state = state;
    clearTimeout(this._timer);
    if (state === 'ready') return;
    this._call?.abort('not-needed');
    this._options.server.streamEnded();
  }
}
