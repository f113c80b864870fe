/** A caller's request and its answer. Ensures that exactly one answer is sent. */
import type http from 'node:http';
import type { MemoryShare } from '../limits/memoryBudget.js';
import { hasBody } from '../utils/answerHead.js';

/** Statuses of answers that this process gives itself instead of forwarding a server's answer. */
export const OWN_STATUS = {
  badRequest: 400,
  unauthorized: 401,
  noRoute: 404,
  bodyTimeOut: 408,
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
  /** Counts the memory of the request and its answer. */
  readonly memory: MemoryShare;
  private readonly _response: http.ServerResponse;
  private readonly _requestIdHeader: string;
  private readonly _isLeaving: () => boolean;
  /** Parts of the body that were written in this turn. */
  private readonly _unsent: Buffer[] = [];
  private _unsentBytes = 0;
  private readonly _writableListeners: (() => void)[] = [];

  constructor(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    requestIdHeader: string,
    isLeaving: () => boolean,
    memory: MemoryShare,
  ) {
    this.request = request;
    this.memory = memory;
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
    return hasBody(this.request.method, status);
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

  /**
   * Sends a part of the body, together with all others of this turn: one by one, very small parts would take many times
   * their size. Returns false when the caller reads too slowly; no more should be written until it is writable.
   */
  write(bytes: Buffer): boolean {
    if (this.ended) return true;
    if (this._unsent.length === 0) process.nextTick(() => this._flush());
    this._unsent.push(bytes);
    this._unsentBytes += bytes.length;
    return !this._response.writableNeedDrain && this._unsentBytes < this._response.writableHighWaterMark;
  }

  /** Calls `listener` when more may be written. */
  onceWritable(listener: () => void): void {
    this._writableListeners.push(listener);
  }

  /** Completes an answer. */
  end(): void {
    this._flush();
    if (!this.ended) this._response.end();
  }

  /** Closes the caller's connection, so that an incomplete answer cannot be taken for a complete one. */
  abort(): void {
    this._flush();
    this._response.destroy();
  }

  private _flush(): void {
    if (this.ended || this._unsent.length === 0) return;
    const parts = this._unsent.splice(0);
    this._unsentBytes = 0;
    if (this._response.write(parts.length === 1 ? parts[0] : Buffer.concat(parts))) this._onWritable();
    else this._response.once('drain', () => this._onWritable());
  }

  private _onWritable(): void {
    for (const listener of this._writableListeners.splice(0)) listener();
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
