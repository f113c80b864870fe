/** One caller's request as it came, and the answer to it: whatever happens, exactly one. */
import type http from 'node:http';

/** Statuses by which this process answers for itself. */
export const OWN_STATUS = {
  badRequest: 400,
  unauthorized: 401,
  noRoute: 404,
  tooLarge: 413,
  unknown: 502,
  notRun: 503,
  timeOut: 504,
} as const;

/** Headers that concern one connection only. */
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

/** Writes the answer of a request. */
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

  /** Whether the caller has been sent a status already. */
  get headersSent(): boolean {
    return this._response.headersSent;
  }

  get ended(): boolean {
    return this._response.writableEnded || this._response.destroyed;
  }

  /** Calls `listener` when the caller leaves before the answer has ended. */
  onCallerDisconnect(listener: () => void): void {
    this._response.once('close', () => {
      if (!this._response.writableFinished) listener();
    });
  }

  /** Answers for this process itself. `retryAfterMilliseconds` says when to come back. */
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

  /** Passes a whole answer of a backend server on. */
  answer(status: number, headers: http.IncomingHttpHeaders, body: Buffer): void {
    if (this.headersSent || this.ended) return this.abort();
    this._copyHeaders(headers);
    const hasBody = status !== 204 && status !== 304 && this.request.method !== 'HEAD';
    const framed = hasBody && this._copyFraming(headers);
    this._writeHead(status, framed ? body.length : undefined);
    this._response.end(hasBody ? body : undefined);
  }

  /** Begins an answer whose length is not known yet. */
  begin(status: number, headers: http.IncomingHttpHeaders): void {
    if (this.headersSent || this.ended) return;
    this._copyHeaders(headers);
    this._copyFraming(headers);
    this._writeHead(status, undefined);
    this._response.flushHeaders();
  }

  /** Sends a part of an answer that was begun; false when the caller reads too slowly. */
  write(bytes: Buffer): boolean {
    return this.ended || this._response.write(bytes);
  }

  onceWritable(listener: () => void): void {
    this._response.once('drain', listener);
  }

  /** Ends an answer that was begun, as whole. */
  end(): void {
    if (!this.ended) this._response.end();
  }

  /** Closes the caller's connection, so that the answer cannot look whole. */
  abort(): void {
    this._response.destroy();
  }

  /**
   * An answer that says nothing of its length ends with its connection, and nobody can tell whether it is whole: it must
   * not be passed on as one of known length. Returns whether the length is known.
   */
  private _copyFraming(headers: http.IncomingHttpHeaders): boolean {
    const framed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
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

/** The headers of a request that are passed on: names and values in turn, without those that `drop` names. */
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
