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

/**
 * An HTTP client with at most one connection at a time, which carries one request at a time. The client opens another
 * connection for the next request when its last one has been closed, so what is known of a connection is kept with it.
 */
export class BackendConnection {
  readonly client: Client;
  /** The current connection, and when it was begun in monotonic milliseconds; undefined without one. */
  private _current: { socket: Socket | undefined; openedAt: number } | undefined;

  constructor(address: string, connectMilliseconds: number, clock: Clock) {
    const connect = answerConnector(connectMilliseconds);
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveMaxTimeout: MAX_IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
      connect: (options, callback) => {
        const current = { socket: undefined as Socket | undefined, openedAt: clock.now() };
        this._current = current;
        connect(options, (...result) => {
          current.socket = result[1] ?? undefined;
          callback(...result);
        });
      },
    });
  }

  /** Whether a connection is open, or is being opened. */
  get isOpen(): boolean {
    return this._current !== undefined && this._current.socket?.destroyed !== true;
  }

  /** Whether the current connection was begun before `time`, in monotonic milliseconds. */
  wasOpenedBefore(time: number): boolean {
    return this.isOpen && this._current!.openedAt < time;
  }

  /**
   * Resets the connection. A regular close would be queued behind the request, so that a server behind a network
   * partition would still receive the request once the partition ends. Data that has already reached the box of a
   * frozen server is still delivered to it.
   */
  reset(): void {
    this._current?.socket?.resetAndDestroy();
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
    for (let idle = this._idle.pop(); idle; idle = this._idle.pop()) {
      if (idle.isOpen) return idle;
      this._discard(idle);
    }
    if (this._all.size >= this._options.limit() || this._closed) return undefined;
    const connection = this._open();
    this._all.add(connection);
    return connection;
  }

  /** Returns a connection to the pool, or closes it when it is not reusable. */
  release(connection: BackendConnection, reusable: boolean): void {
    if (reusable && !this._closed && this._all.has(connection)) this._idle.push(connection);
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
    for (const connection of this._all) if (connection.wasOpenedBefore(time)) connection.reset();
  }

  private _open(): BackendConnection {
    const { address, connectMilliseconds, clock } = this._options;
    const connection = new BackendConnection(address, connectMilliseconds, clock);
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
