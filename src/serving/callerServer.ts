/** The HTTP server that callers connect to. */
import http from 'node:http';
import net from 'node:net';
import type { Socket } from 'node:net';
import { setImmediate as afterPoll } from 'node:timers/promises';
import { listenHttp } from '../utils/httpServer.js';
import type { CallerLimits } from './servingConfiguration.js';

/** Handles one request; must not throw. */
export type RequestListener = (request: http.IncomingMessage, response: http.ServerResponse) => void;

const MAX_HEADER_BYTES = 64 * 1024;
/** Idle connections are kept this much longer than announced, so that a request does not race with their closing. */
const IDLE_MARGIN_MILLISECONDS = 2_000;
const DEFAULT_IDLE_MILLISECONDS = 60_000;
/** Limit on the cycles of the event loop in which pending connections are accepted before listening ends. */
const MAX_ACCEPT_CYCLES = 100;
const BAD_REQUEST_ANSWER = 'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';

/** The requests of a connection. */
interface ConnectionUse {
  requests: number;
  /** Number of requests whose answers have not been handed to the operating system. */
  open: number;
}

export class CallerServer {
  private readonly _server: http.Server;
  private readonly _connections = new Map<Socket, ConnectionUse>();
  /** Number of connections that have been accepted so far. */
  private _accepted = 0;

  constructor(listener: RequestListener) {
    this._server = http.createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true }, listener);
    this._server.keepAliveTimeout = DEFAULT_IDLE_MILLISECONDS;
    this._server.requestTimeout = 0;
    this._server.headersTimeout = 0;
    this._server.on('connection', (socket) => this._trackSocket(socket));
    this._server.on('request', (request, response) => this._trackRequest(request.socket, response));
    this._server.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end(BAD_REQUEST_ANSWER);
      else socket.destroy();
    });
  }

  /** Number of open connections. */
  get connections(): number {
    return this._connections.size;
  }

  async listen(address: string, port: number): Promise<number> {
    return await listenHttp(this._server, address, port);
  }

  /** Applies the operator's limits. */
  applyLimits(limits: CallerLimits): void {
    this._server.keepAliveTimeout = limits.idleMilliseconds + IDLE_MARGIN_MILLISECONDS;
  }

  /** Stops accepting connections and closes idle ones; a connection just opened may still send its first request. */
  async stopListening(): Promise<void> {
    // Lets the event loop accept pending connections first; the system would reset them when the socket is closed.
    for (let cycle = 0, known = -1; known < this._accepted && cycle < MAX_ACCEPT_CYCLES; cycle++) {
      known = this._accepted;
      await afterPoll();
    }
    // The method of the HTTP server would also destroy connections on which the end of an answer is being sent.
    net.Server.prototype.close.call(this._server);
    for (const [socket, { requests, open }] of this._connections)
      if (requests > 0 && open === 0) socket.destroy();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }

  private _trackSocket(socket: Socket): void {
    this._accepted++;
    this._connections.set(socket, { requests: 0, open: 0 });
    socket.once('close', () => this._connections.delete(socket));
  }

  private _trackRequest(socket: Socket, response: http.ServerResponse): void {
    const use = this._connections.get(socket);
    if (!use) return;
    use.requests++;
    use.open++;
    response.once('close', () => use.open--);
  }
}
