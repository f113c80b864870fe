/** Connection pool of this entry for one backend server, limited to the entry's share of the server's connections. */
import type { Socket } from 'node:net';
import { Client } from 'undici';
import { answerConnector } from '../utils/answerConnector.js';
import type { Clock } from '../utils/clock.js';

/** How long an idle connection is kept when the server sends no keep-alive timeout. */
const IDLE_MILLISECONDS = 3_500;
/** An idle connection is closed this much before the keep-alive timeout of the server. */
const IDLE_MARGIN_MILLISECONDS = 1_200;
const MAX_IDLE_MILLISECONDS = 60_000;

/** One connection to a backend server; it carries one request at a time. */
export class BackendConnection {
  readonly client: Client;
  readonly openedAt: number;
  private _broken = false;
  private _socket: Socket | undefined;

  /** `openedAt` is in monotonic milliseconds. */
  constructor(address: string, connectMilliseconds: number, openedAt: number) {
    this.openedAt = openedAt;
    const connect = answerConnector(connectMilliseconds);
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveMaxTimeout: MAX_IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
      connect: (options, callback) =>
        connect(options, (...result) => {
          // Registered before the client's own listener, because the client reports an answer without a declared
          // length as complete after a reset.
          result[1]?.once('error', () => (this._broken = true));
          this._socket = result[1] ?? undefined;
          callback(...result);
        }),
    });
  }

  /**
   * Resets the connection. A regular close would be queued behind the request, so that a server behind a network
   * partition would still receive the request once the partition ends. Data that has already reached the box of a
   * frozen server is still delivered to it.
   */
  reset(): void {
    if (!this._socket) return;
    // A reset by this side emits no error, without which the client takes it for the end of an answer without length.
    if (!this._socket.destroyed) this._socket.emit('error', new Error('reset by this process'));
    this._socket.resetAndDestroy();
  }

  /** Whether the connection ended with an error, in which case an answer that ended with it is incomplete. */
  get broken(): boolean {
    return this._broken;
  }
}

export interface ConnectionOptions {
  /** host:port. */
  address: string;
  connectMilliseconds: number;
  clock: Clock;
  /** Returns the current maximum of connections; it changes with the number of entries. */
  limit: () => number;
}

/** Pool of connections; the most recently used idle connection is reused first. */
export class BackendConnections {
  private readonly _options: ConnectionOptions;
  private readonly _idle: BackendConnection[] = [];
  private readonly _all = new Set<BackendConnection>();
  private _closed = false;

  constructor(options: ConnectionOptions) {
    this._options = options;
  }

  /** Whether a connection is idle or may be opened. */
  get available(): boolean {
    return this._idle.length > 0 || this._all.size < this._options.limit();
  }

  /** Returns an idle connection, or opens one within the limit. */
  acquire(): BackendConnection | undefined {
    const idle = this._idle.pop();
    if (idle) return idle;
    if (this._all.size >= this._options.limit() || this._closed) return undefined;
    const connection = this._open();
    this._all.add(connection);
    return connection;
  }

  /** Returns a connection to the pool, or closes it when it is not reusable. */
  release(connection: BackendConnection, reusable: boolean): void {
    const isUsable = reusable && !connection.broken && !this._closed;
    if (isUsable && this._all.has(connection)) this._idle.push(connection);
    else this._discard(connection);
  }

  /** Closes idle connections now and the others once they are released. */
  close(): void {
    this._closed = true;
    for (const connection of [...this._idle]) this._discard(connection);
  }

  /**
   * Closes idle connections, and resets those opened before `time`, in monotonic milliseconds: the server process
   * at their other end no longer exists.
   */
  resetOpenedBefore(time: number): void {
    this.close();
    for (const connection of this._all) if (connection.openedAt < time) connection.reset();
  }

  private _open(): BackendConnection {
    const { address, connectMilliseconds, clock } = this._options;
    const connection = new BackendConnection(address, connectMilliseconds, clock.now());
    connection.client.on('disconnect', () => {
      if (this._idle.includes(connection)) this._discard(connection);
    });
    return connection;
  }

  private _discard(connection: BackendConnection): void {
    this._all.delete(connection);
    const position = this._idle.indexOf(connection);
    if (position >= 0) this._idle.splice(position, 1);
    void connection.client.destroy().catch(() => undefined);
  }
}
