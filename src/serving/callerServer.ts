/** The HTTP server that callers connect to. */
import http from 'node:http';
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
const BAD_REQUEST_ANSWER = 'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';

export class CallerServer {
  private readonly _server: http.Server;
  private readonly _sockets = new Set<Socket>();

  constructor(listener: RequestListener) {
    this._server = http.createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true }, listener);
    this._server.keepAliveTimeout = DEFAULT_IDLE_MILLISECONDS;
    this._server.requestTimeout = 0;
    this._server.headersTimeout = 0;
    this._server.on('connection', (socket) => this._trackSocket(socket));
    this._server.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end(BAD_REQUEST_ANSWER);
      else socket.destroy();
    });
  }

  /** Number of open connections. */
  get connections(): number {
    return this._sockets.size;
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
    await afterPoll();
    this._server.close();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }

  private _trackSocket(socket: Socket): void {
    this._sockets.add(socket);
    socket.once('close', () => this._sockets.delete(socket));
  }
}
