/** One attempt: a request sent to one backend server over one connection, and its answer as it comes. */
import type { Dispatcher } from 'undici';
import { errorCode, errorText } from '../utils/stepError.js';
import type { BackendConnection } from './backendConnections.js';
import type { TrackedServer } from './trackedServer.js';

/** The request as the backend server gets it. */
export interface BackendRequest {
  method: string;
  path: string;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer | undefined;
  /** Size of the prompt, in usual prompts of the service. */
  prompts: number;
}

/** Header values by lower-case name. */
export type AnswerHeaders = Record<string, string | string[] | undefined>;

/** Hears what comes of an attempt; after `onEnd` or `onFailed` nothing follows. */
export interface BackendCallListener {
  onHead(status: number, headers: AnswerHeaders): void;
  onData(bytes: Buffer): void;
  onEnd(): void;
  /** `sent` is false when it is certain that nothing reached the server. */
  onFailed(failure: CallFailure): void;
}

/** How an attempt failed. */
export interface CallFailure {
  sent: boolean;
  reason: string;
  /** Whether the connection broke off with the request at the server, and not by this process. */
  brokeOff?: boolean;
  /** The status by which the server said that it has not run the request. */
  rejectedWith?: number;
}

/** Why an attempt was given up by this process. */
export type AbortReason =
  'caller-gone' | 'time-over' | 'silent' | 'foreign-answer' | 'not-needed' | 'server-closed';

class CallAborted extends Error {}

export class BackendCall {
  readonly server: TrackedServer;
  private readonly _listener: BackendCallListener;
  private readonly _connection: BackendConnection;
  private readonly _giveBack: (reusable: boolean) => void;
  private _controller: Dispatcher.DispatchController | undefined;
  private _sent = false;
  private _ended = false;
  private readonly _prompts: number;
  private _isRead = false;
  private _aborted: AbortReason | undefined;

  private constructor(
    server: TrackedServer,
    connection: BackendConnection,
    giveBack: (reusable: boolean) => void,
    listener: BackendCallListener,
    prompts: number,
  ) {
    this.server = server;
    this._prompts = prompts;
    this._connection = connection;
    this._giveBack = giveBack;
    this._listener = listener;
  }

  /** Sends a request; undefined when the server's connections are all in use. */
  static send(
    server: TrackedServer,
    request: BackendRequest,
    listener: BackendCallListener,
  ): BackendCall | undefined {
    const connection = server.connections.acquire();
    if (!connection) return undefined;
    const giveBack = (reusable: boolean): void => server.connections.release(connection, reusable);
    const call = new BackendCall(server, connection, giveBack, listener, request.prompts);
    server.load.outstanding++;
    server.noteSent(request.prompts);
    server.backpressure.noteSent();
    call._dispatch(request);
    return call;
  }

  /** Whether the request may have reached the server. */
  get sent(): boolean {
    return this._sent;
  }

  /** Stops reading until {@link BackendCall.resume}. */
  pause(): void {
    this._controller?.pause();
  }

  resume(): void {
    if (!this._ended) this._controller?.resume();
  }

  /** Ends the attempt and resets its connection, so that the server stops working. The listener hears nothing more. */
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
        // a connection takes a while to come up, and the server may have asked for a pause meanwhile
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
    this._listener.onHead(status, headers);
  }

  private _onData(bytes: Buffer): void {
    if (this._ended) return;
    this._noteRead();
    this.server.noteData();
    this._listener.onData(bytes);
  }

  private _onEnd(): void {
    if (this._ended) return;
    if (this._connection.broken) return this._onError(new Error('reset within an answer without length'));
    this._end(true);
    this._listener.onEnd();
  }

  private _onError(error: unknown): void {
    if (this._ended) return;
    this._end(false);
    const reason = errorCode(error) || errorText(error);
    this._listener.onFailed({ sent: this._sent, reason, brokeOff: this._sent });
  }

  private _noteRead(): void {
    if (this._isRead) return;
    this._isRead = true;
    this.server.noteRead(this._prompts);
  }

  private _end(reusable: boolean): void {
    this._noteRead();
    this._ended = true;
    this.server.load.outstanding--;
    this._giveBack(reusable);
  }
}
