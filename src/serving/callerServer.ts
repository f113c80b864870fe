/** The HTTP server that callers connect to. */
import net from 'node:net';
import { setImmediate as afterPoll } from 'node:timers/promises';
import type { ClientLimits } from '../limits/clientLimits.js';
import { LimitedServer } from '../limits/limitedServer.js';
import type { LimitedListener } from '../limits/limitedServer.js';
import type { CallerLimits } from './servingConfiguration.js';

const MAX_HEAD_BYTES = 64 * 1024;
/** Idle connections are kept this much longer than announced, so that a request does not race with their closing. */
const IDLE_MARGIN_MILLISECONDS = 2_000;
const DEFAULT_IDLE_MILLISECONDS = 60_000;
/** Limit on the cycles of the event loop in which pending connections are accepted before listening ends. */
const MAX_ACCEPT_CYCLES = 100;

export class CallerServer {
  private readonly _server: LimitedServer;

  constructor(limits: ClientLimits, listener: LimitedListener) {
    const options = {
      limits,
      headBytes: MAX_HEAD_BYTES,
      keepAliveMilliseconds: DEFAULT_IDLE_MILLISECONDS,
      // The time for a body is that of its route.
      requestMilliseconds: 0,
    };
    this._server = new LimitedServer(options, listener);
  }

  /** Number of open connections. */
  get connections(): number {
    return this._server.connections.length;
  }

  async listen(address: string, port: number): Promise<number> {
    return await this._server.listen(address, port);
  }

  /** Applies the operator's limits. */
  applyLimits({ idleMilliseconds, headMilliseconds }: CallerLimits): void {
    const { http } = this._server;
    http.keepAliveTimeout = idleMilliseconds + IDLE_MARGIN_MILLISECONDS;
    // The time for a head also limits how long a new connection may rest before its first request.
    http.headersTimeout = Math.max(idleMilliseconds, headMilliseconds) + IDLE_MARGIN_MILLISECONDS;
  }

  /** Stops accepting connections and closes idle ones; a connection just opened may still send its first request. */
  async stopListening(): Promise<void> {
    // Lets the event loop accept pending connections first; the system would reset them when the socket is closed.
    for (let cycle = 0, known = -1; known < this._server.accepted && cycle < MAX_ACCEPT_CYCLES; cycle++) {
      known = this._server.accepted;
      await afterPoll();
    }
    // The method of the HTTP server would also destroy connections on which the end of an answer is being sent.
    net.Server.prototype.close.call(this._server.http);
    for (const connection of this._server.connections)
      if (!connection.isNew && connection.isResting) connection.close();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this._server.close();
    this._server.http.closeAllConnections();
  }
}
