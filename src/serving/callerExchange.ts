/** A caller's request and its answer. Ensures that exactly one answer is sent. */
import type http from 'node:http';
import { isFramed } from './answerHead.js';

/** Statuses of answers that this process gives itself instead of forwarding a server's answer. */
export const OWN_STATUS = {
  badRequest: 400,
  unauthorized: 401,
  noRoute: 404,
  tooLarge: 413,
  unknown: 502,
  notRun: 503,
  timeOut: 504,
} as const;

/** Headers that apply to a single connection or are set by this process, and are not forwarded. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
  'expect',
  'content-length',
]);

/** A reset discards what the caller has received and not read yet. */
export const RESET_DELAY_MILLISECONDS = 100;

/** Writes the answer to a caller's request. */
export class CallerExchange {
  readonly request: http.IncomingMessage;
  readonly requestId: string;
  private readonly _response: http.ServerResponse;
  private readonly _requestIdHeader: string;
  private readonly _isLeaving: () => boolean;
  /** Whether the answer has neither a length nor chunks, so that only a reset shows that it is incomplete. */
  private _endsWithConnection = false;
  /** Whether the connection is about to be reset. */
  private _isAborted = false;

  constructor(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    requestIdHeader: string,
    isLeaving: () => boolean,
  ) {
    this.request = request;
    this.requestId = String(request.headers[requestIdHeader] ?? '');
    this._response = response;
    this._requestIdHeader = requestIdHeader;
    this._isLeaving = isLeaving;
  }

  /** Whether the status and headers have been sent to the caller. */
  get headersSent(): boolean {
    return this._response.headersSent;
  }

  get ended(): boolean {
    return this._isAborted || this._response.writableEnded || this._response.destroyed;
  }

  /** Calls `listener` when the answer has been handed to the operating system, or the connection is closed. */
  onceClosed(listener: () => void): void {
    this._response.once('close', listener);
  }

  /** Calls `listener` when the caller disconnects before the answer is complete. */
  onCallerDisconnect(listener: () => void): void {
    this._response.once('close', () => {
      if (!this._response.writableFinished) listener();
    });
  }

  /** Sends an error answer of this process. `retryAfterMilliseconds` becomes the `Retry-After` header. */
  refuse(status: number, reason: string, retryAfterMilliseconds?: number): void {
    if (this.headersSent || this.ended) return this.abort();
    const text = JSON.stringify({ error: reason });
    if (this.requestId !== '') this._response.setHeader(this._requestIdHeader, this.requestId);
    if (retryAfterMilliseconds !== undefined) {
      this._response.setHeader('retry-after', (retryAfterMilliseconds / 1000).toFixed(2));
    }
    this._writeHead(status, Buffer.byteLength(text));
    this._response.end(text);
  }

  /** Forwards a complete answer of a backend server. */
  answer(status: number, headers: http.IncomingHttpHeaders, body: Buffer): void {
    if (this.headersSent || this.ended) return this.abort();
    this._copyHeaders(headers);
    const hasBody = status !== 204 && status !== 304 && this.request.method !== 'HEAD';
    const framed = hasBody && this._copyFraming(headers);
    this._writeHead(status, framed ? body.length : undefined);
    this._response.end(hasBody ? body : undefined);
  }

  /** Sends the head of an answer whose length is not known yet. */
  begin(status: number, headers: http.IncomingHttpHeaders): void {
    if (this.headersSent || this.ended) return;
    this._copyHeaders(headers);
    this._copyFraming(headers);
    this._writeHead(status, undefined);
    this._response.flushHeaders();
  }

  /** Sends a part of the body. Returns false when the caller reads too slowly and the part was buffered. */
  write(bytes: Buffer): boolean {
    return this.ended || this._response.write(bytes);
  }

  onceWritable(listener: () => void): void {
    this._response.once('drain', listener);
  }

  /** Completes an answer. */
  end(): void {
    if (!this.ended) this._response.end();
  }

  /** Closes the caller's connection, so that an incomplete answer cannot be taken for a complete one. */
  abort(): void {
    const { socket } = this._response;
    if (!this._endsWithConnection || !socket) return void this._response.destroy();
    this._isAborted = true;
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MILLISECONDS);
  }

  /**
   * Keeps the framing of the server's answer. An answer with neither a length nor chunked encoding ends when its
   * connection closes, so that a truncated one cannot be detected; it must not be forwarded with a known length.
   * Returns whether the answer had a length or chunked encoding.
   */
  private _copyFraming(headers: http.IncomingHttpHeaders): boolean {
    const framed = isFramed(headers);
    this._endsWithConnection = !framed;
    if (!framed) {
      this._response.useChunkedEncodingByDefault = false;
      this._response.setHeader('connection', 'close');
    }
    return framed;
  }

  private _copyHeaders(headers: http.IncomingHttpHeaders): void {
    for (const [name, value] of Object.entries(headers)) {
      if (value !== undefined && !CONNECTION_HEADERS.has(name)) this._response.setHeader(name, value);
    }
  }

  private _writeHead(status: number, length: number | undefined): void {
    if (length !== undefined) this._response.setHeader('content-length', length);
    if (this._isLeaving()) this._response.setHeader('connection', 'close');
    this._response.writeHead(status);
  }
}

/** Returns the headers to forward, names and values alternating, without connection headers and those in `drop`. */
export function forwardedHeaders(request: http.IncomingMessage, drop: ReadonlySet<string>): string[] {
  const connectionNamed = new Set(
    String(request.headers.connection ?? '')
      .split(',')
      .map((name) => name.trim().toLowerCase()),
  );
  const forwarded: string[] = [];
  for (let index = 0; index < request.rawHeaders.length; index += 2) {
    const name = request.rawHeaders[index].toLowerCase();
    if (CONNECTION_HEADERS.has(name) || connectionNamed.has(name) || drop.has(name)) continue;
    forwarded.push(request.rawHeaders[index], request.rawHeaders[index + 1]);
  }
  return forwarded;
}
