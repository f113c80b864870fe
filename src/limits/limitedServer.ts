/** An HTTP server that keeps what its clients take within the limits of the process. */
import http from 'node:http';
import type { Socket } from 'node:net';
import { SystemClock } from '../utils/clock.js';
import { closeHttp, listenHttp } from '../utils/httpServer.js';
import { ClientConnection } from './clientConnection.js';
import type { OpenRequest } from './clientConnection.js';
import type { ClientLimits } from './clientLimits.js';
import type { ConnectionLimit } from './connectionLimit.js';
import type { MemoryShare } from './memoryBudget.js';

/**
 * Handles one request; must not throw. `share` counts the memory of the request and its answer; it is released when the
 * answer has been handed to the operating system, or the connection is closed.
 */
export type LimitedListener = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  share: MemoryShare,
) => void;

export interface LimitedServerOptions {
  limits: ClientLimits;
  /** Whether the address is not that of requests, so that it stays reachable while callers use up their connections. */
  isSide?: boolean;
  /** Longest head; 16 KiB by default. */
  headBytes?: number;
  /** How long an idle connection is kept; 5 s by default. */
  keepAliveMilliseconds?: number;
  /** Longest time for a head; 60 s by default. */
  headMilliseconds?: number;
  /** Longest time for a whole request; 60 s by default, 0 for no limit. */
  requestMilliseconds?: number;
}

const DEFAULT_HEAD_BYTES = 16 * 1024;
const DEFAULT_KEEP_ALIVE_MILLISECONDS = 5_000;
const DEFAULT_REQUEST_MILLISECONDS = 60_000;
const CHECK_MILLISECONDS = 1_000;
/** Memory that handling takes for the texts of a head, relative to these. */
const HANDLING_FACTOR = 2;
/** Memory of a request that waits, besides the texts of its head. */
const REQUEST_BYTES = 4 * 1024;
/** Memory that handling a request takes, besides its head, its body and its answer. */
const HANDLING_BYTES = 12 * 1024;
/** Memory of a name or value of a header besides its characters. */
const HEADER_TEXT_BYTES = 48;

const STATUS_BY_ERROR: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};
const BAD_REQUEST = '400 Bad Request';
const EXPECTATION_FAILED = 417;

export class LimitedServer {
  readonly http: http.Server;
  private readonly _options: LimitedServerOptions;
  private readonly _listener: LimitedListener;
  private readonly _clock = new SystemClock();
  private readonly _limit: ConnectionLimit;
  private readonly _connections = new Map<Socket, ClientConnection>();
  /** Number of connections that have been accepted so far. */
  accepted = 0;
  private readonly _timer: NodeJS.Timeout;

  constructor(options: LimitedServerOptions, listener: LimitedListener) {
    this._options = options;
    this._listener = listener;
    this._limit = options.isSide ? options.limits.sideConnections : options.limits.connections;
    const maxHeaderSize = options.headBytes ?? DEFAULT_HEAD_BYTES;
    const connectionsCheckingInterval = CHECK_MILLISECONDS;
    this.http = http.createServer({ maxHeaderSize, noDelay: true, connectionsCheckingInterval });
    this.http.keepAliveTimeout = options.keepAliveMilliseconds ?? DEFAULT_KEEP_ALIVE_MILLISECONDS;
    this.http.headersTimeout = options.headMilliseconds ?? DEFAULT_REQUEST_MILLISECONDS;
    this.http.requestTimeout = options.requestMilliseconds ?? DEFAULT_REQUEST_MILLISECONDS;
    this.http.on('connection', (socket) => this._onConnection(socket));
    this.http.on('request', (request, response) => this._onRequest(request, response));
    this.http.on('checkExpectation', (request, response) => this._onRequest(request, response));
    this.http.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (!socket.writable) return void socket.destroy();
      const status = STATUS_BY_ERROR[error.code ?? ''] ?? BAD_REQUEST;
      socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
    });
    this._timer = setInterval(() => this._checkConnections(), CHECK_MILLISECONDS).unref();
  }

  /** The open connections. */
  get connections(): readonly ClientConnection[] {
    return [...this._connections.values()];
  }

  /** Starts listening and returns the port, which the system chooses when `port` is 0. */
  async listen(address: string, port: number): Promise<number> {
    return await listenHttp(this.http, address, port);
  }

  /** Stops listening and closes idle connections; other connections close after their current answer. */
  close(): void {
    closeHttp(this.http);
    clearInterval(this._timer);
  }

  private _onConnection(socket: Socket): void {
    this.accepted++;
    const share = this._options.limits.memory.share();
    const connection = new ClientConnection(socket, share, this._clock.now(), (open) => this._handle(open));
    if (!this._limit.add(connection)) return connection.close();
    this._connections.set(socket, connection);
    socket.once('close', () => {
      this._connections.delete(socket);
      this._limit.remove(connection);
      connection.release();
    });
    connection.check(this._clock.now());
  }

  private _onRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const connection = this._connections.get(request.socket);
    if (!connection || request.socket.destroyed) return;
    const share = this._options.limits.memory.share();
    const open: OpenRequest = { request, response, headBytes: headBytes(request), share };
    response.once('close', () => {
      share.release();
      connection.end(open, this._clock.now());
    });
    // What is left of the answer then waits for the client to read it.
    response.once('prefinish', () => (share.evict = () => connection.close()));
    connection.add(open, this._clock.now());
  }

  private _handle({ request, response, share, headBytes: bytes }: OpenRequest): boolean {
    if (!share.take(bytes * (1 + HANDLING_FACTOR) + HANDLING_BYTES)) return false;
    if (isExpectationUnknown(request)) response.writeHead(EXPECTATION_FAILED).end();
    else this._listener(request, response, share);
    return true;
  }

  private _checkConnections(): void {
    const now = this._clock.now();
    for (const connection of this._connections.values()) connection.check(now);
    this._options.limits.check(now);
  }
}

/** Whether the client waits for something that no answer of this server promises. */
function isExpectationUnknown({ headers, httpVersion }: http.IncomingMessage): boolean {
  return httpVersion === '1.1' && headers.expect !== undefined && !/\b100-continue\b/i.test(headers.expect);
}

function headBytes({ rawHeaders, url }: http.IncomingMessage): number {
  let bytes = REQUEST_BYTES + (url?.length ?? 0);
  for (const text of rawHeaders) bytes += text.length + HEADER_TEXT_BYTES;
  return bytes;
}
