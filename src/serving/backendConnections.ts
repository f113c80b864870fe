/** The connections of this entry to one backend server: kept, few, and never more than its share. */
import type { Socket } from 'node:net';
import { Client, buildConnector } from 'undici';
import type { Clock } from '../utils/clock.js';

/** How long an unused connection is kept when the server does not say. */
const IDLE_MILLISECONDS = 3_500;
/** How much earlier than the server says an unused connection is closed. */
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
    const connect = buildConnector({ timeout: connectMilliseconds });
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveMaxTimeout: MAX_IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
      connect: (options, callback) =>
        connect(options, (...result) => {
          // heard before the client hears it, which takes an answer without length as whole after a reset
          result[1]?.once('error', () => (this._broken = true));
          this._socket = result[1] ?? undefined;
          callback(...result);
        }),
    });
  }

  /**
   * Ends the connection with a reset. An ordinary close stands behind the request in the stream: a server that was cut
   * off would still get the request once it can be reached again. What has reached a frozen box is not taken back by it.
   */
  reset(): void {
    this._socket?.resetAndDestroy();
  }

  /** Whether the connection ended with an error, so that an answer that ended with it is not whole. */
  get broken(): boolean {
    return this._broken;
  }
}

/** How connections are opened and kept. */
export interface ConnectionOptions {
  /** host:port. */
  address: string;
  connectMilliseconds: number;
  clock: Clock;
  /** Most connections now; the share changes with the number of entries. */
  limit: () => number;
}

/** Lends connections, the most recently used one first. Each carries one request at a time. */
export class BackendConnections {
  private readonly _options: ConnectionOptions;
  private readonly _idle: BackendConnection[] = [];
  private readonly _all = new Set<BackendConnection>();
  private _closed = false;

  constructor(options: ConnectionOptions) {
    this._options = options;
  }

  /** Whether a request could be sent now. */
  get available(): boolean {
    return this._idle.length > 0 || this._all.size < this._options.limit();
  }

  /** An unused connection, or a new one within the limit. */
  acquire(): BackendConnection | undefined {
    const idle = this._idle.pop();
    if (idle) return idle;
    if (this._all.size >= this._options.limit() || this._closed) return undefined;
    const connection = this._open();
    this._all.add(connection);
    return connection;
  }

  /** Takes a connection back; one that must not be used again is closed. */
  release(connection: BackendConnection, reusable: boolean): void {
    const isUsable = reusable && !connection.broken && !this._closed;
    if (isUsable && this._all.has(connection)) this._idle.push(connection);
    else this._discard(connection);
  }

  /** Closes unused connections now and the others as they come back. */
  close(): void {
    this._closed = true;
    for (const connection of [...this._idle]) this._discard(connection);
  }

  /**
   * Closes unused connections, and ends the requests on those that were opened before `time`, in monotonic milliseconds: who
   * answered there has ended.
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
