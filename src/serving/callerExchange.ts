/** A caller's request and its answer. Ensures that exactly one answer is sent. */
import type http from 'node:http';

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

/** Writes the answer to a caller's request. */
export class CallerExchange {
  readonly request: http.IncomingMessage;
  readonly requestId: string;
  private readonly _response: http.ServerResponse;
  private readonly _requestIdHeader: string;
  private readonly _isLeaving: () => boolean;

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
    return this._response.writableEnded || this._response.destroyed;
  }

  /**
   * Whether an answer may be sent in parts before its length is known. That takes chunks, since the system closes the
   * connections of a killed process in order: without chunks a part would look complete.
   */
  get takesChunks(): boolean {
    return this._response.useChunkedEncodingByDefault;
  }

  /** Whether an answer of this status has a body. */
  hasBody(status: number): boolean {
    return status !== 204 && status !== 304 && this.request.method !== 'HEAD';
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
    const hasBody = this.hasBody(status);
    this._writeHead(status, hasBody ? body.length : undefined);
    this._response.end(hasBody ? body : undefined);
  }

  /** Sends the head of an answer whose length is not known yet; its body is sent in chunks. */
  begin(status: number, headers: http.IncomingHttpHeaders): void {
    if (this.headersSent || this.ended) return;
    this._copyHeaders(headers);
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
    this._response.destroy();
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
