/** One attempt: sends a request to a backend server over one connection and receives its answer. */
import type { Dispatcher } from 'undici';
import { headProblem } from '../utils/answerHead.js';
import { errorCode, errorText } from '../utils/stepError.js';
import type { BackendConnection } from './backendConnections.js';
import type { TrackedServer } from './trackedServer.js';

/** The request as sent to a backend server. */
export interface BackendRequest {
  method: string;
  path: string;
  /** Names and values, alternating. */
  headers: string[];
  body: Buffer | undefined;
  /** Size of the prompt relative to the service's mean prompt. */
  promptSize: number;
}

/** Header values by lower-case name. */
export type AnswerHeaders = Record<string, string | string[] | undefined>;

/** Receives the events of an attempt. `onEnd` or `onFailed` is the last one. */
export interface BackendCallListener {
  onHead(status: number, headers: AnswerHeaders): void;
  onData(bytes: Buffer): void;
  onEnd(): void;
  /** The attempt failed, before or within its answer. */
  onFailed(failure: CallFailure): void;
}

/** Details of a failed attempt; logged under these names. */
export interface CallFailure {
  /** False when it is certain that nothing reached the server. */
  sent: boolean;
  reason: string;
  /** Whether the connection was lost after the request had been sent, and was not closed by this process. */
  brokeOff?: boolean;
  /** Status of an answer by which the server said that it has not run the request. */
  rejectedWith?: number;
}

/** Why this process aborted an attempt. */
export type AbortReason =
  'caller-gone' | 'time-over' | 'silent' | 'foreign-answer' | 'not-needed' | 'server-closed';

class CallAborted extends Error {}

export class BackendCall {
  readonly server: TrackedServer;
  private readonly _listener: BackendCallListener;
  private readonly _connection: BackendConnection;
  private readonly _release: (reusable: boolean) => void;
  private _controller: Dispatcher.DispatchController | undefined;
  private _sent = false;
  private _ended = false;
  private readonly _promptSize: number;
  private _isPromptRead = false;
  private _aborted: AbortReason | undefined;

  private constructor(
    server: TrackedServer,
    connection: BackendConnection,
    release: (reusable: boolean) => void,
    listener: BackendCallListener,
    promptSize: number,
  ) {
    this.server = server;
    this._promptSize = promptSize;
    this._connection = connection;
    this._release = release;
    this._listener = listener;
  }

  /** Sends a request. Returns undefined when all connections to the server are in use. */
  static send(
    server: TrackedServer,
    request: BackendRequest,
    listener: BackendCallListener,
  ): BackendCall | undefined {
    const connection = server.connections.acquire();
    if (!connection) return undefined;
    const release = (reusable: boolean): void => server.connections.release(connection, reusable);
    const call = new BackendCall(server, connection, release, listener, request.promptSize);
    server.load.outstanding++;
    server.noteSent(request.promptSize);
    server.backpressure.noteSent();
    call._dispatch(request);
    return call;
  }

  /** Whether the request may have reached the server. */
  get sent(): boolean {
    return this._sent;
  }

  /** Stops reading the answer until {@link BackendCall.resume} is called. */
  pause(): void {
    this._controller?.pause();
  }

  resume(): void {
    if (!this._ended) this._controller?.resume();
  }

  /** Aborts the attempt and resets its connection, so that the server stops working. The listener is not called. */
  abort(reason: AbortReason): void {
    if (this._ended) return;
    this._aborted = reason;
    this._connection.reset();
    this._end(false);
    this._controller?.abort(new CallAborted(reason));
  }

  private _dispatch(request: BackendRequest): void {
    const { method, path, headers, body } = request;
    const options = { method: method as Dispatcher.HttpMethod, path, headers, body: body ?? null };
    this._connection.client.dispatch(options, {
      onRequestStart: (controller) => {
        this._controller = controller;
        // While the connection was being established the server may have announced a pause or that it is leaving.
        if (this.server.backpressure.isClosed) this._aborted ??= 'server-closed';
        if (this._aborted) controller.abort(new CallAborted(this._aborted));
        else this._sent = true;
      },
      onResponseStart: (_controller, status, headers) => this._onHead(status, headers),
      onResponseData: (_controller, bytes) => this._onData(bytes),
      onResponseEnd: () => this._onEnd(),
      onResponseError: (_controller, error) => this._onError(error),
    });
  }

  private _onHead(status: number, headers: AnswerHeaders): void {
    if (this._ended) return;
    this.server.noteData();
    const problem = headProblem(status, headers);
    if (!problem) return this._listener.onHead(status, headers);
    this.abort('foreign-answer');
    this._listener.onFailed({ sent: true, reason: problem });
  }

  private _onData(bytes: Buffer): void {
    if (this._ended) return;
    this._notePromptRead();
    this.server.noteData();
    this._listener.onData(bytes);
  }

  private _onEnd(): void {
    if (this._ended) return;
    this._end(true);
    this._listener.onEnd();
  }

  private _onError(error: unknown): void {
    if (this._ended) return;
    this._end(false);
    const reason = errorCode(error) || errorText(error);
    this._listener.onFailed({ sent: this._sent, reason, brokeOff: this._sent });
  }

  private _notePromptRead(): void {
    if (this._isPromptRead) return;
    this._isPromptRead = true;
    this.server.noteRead(this._promptSize);
  }

  private _end(reusable: boolean): void {
    this._notePromptRead();
    this._ended = true;
    this.server.load.outstanding--;
    this._release(reusable);
  }
}
