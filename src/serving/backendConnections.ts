/** The connections of this entry to one backend server: kept, few, and never more than its share. */
import { Client } from 'undici';

/** How connections are opened and kept. */
export interface ConnectionOptions {
  /** host:port. */
  address: string;
  connectMilliseconds: number;
  /** Most connections now; the share changes with the number of entries. */
  limit: () => number;
}

/** How long an unused connection is kept when the server does not say. */
const KEEP_MILLISECONDS = 3_500;
/** How much earlier than the server says an unused connection is closed. */
const KEEP_MARGIN_MILLISECONDS = 1_200;
const LONGEST_KEEP_MILLISECONDS = 60_000;

/** Lends connections, the most recently used one first. Each carries one request at a time. */
export class BackendConnections {
  private readonly _options: ConnectionOptions;
  private readonly _idle: Client[] = [];
  private readonly _all = new Set<Client>();
  private _closed = false;

  constructor(options: ConnectionOptions) {
    this._options = options;
  }

  get count(): number {
    return this._all.size;
  }

  /** Whether a request could be sent now. */
  get available(): boolean {
    return this._idle.length > 0 || this._all.size < this._options.limit();
  }

  /** An unused connection, or a new one within the limit. */
  acquire(): Client | undefined {
    const idle = this._idle.pop();
    if (idle) return idle;
    if (this._all.size >= this._options.limit() || this._closed) return undefined;
    const client = this._open();
    this._all.add(client);
    return client;
  }

  /** Takes a connection back; one that must not be used again is closed. */
  release(client: Client, reusable: boolean): void {
    if (reusable && !this._closed && this._all.has(client)) this._idle.push(client);
    else this._discard(client);
  }

  /** Closes unused connections now and the others as they come back. */
  close(): void {
    this._closed = true;
    for (const client of [...this._idle]) this._discard(client);
  }

  private _open(): Client {
    const client = new Client(`http://${this._options.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_MILLISECONDS,
      keepAliveMaxTimeout: LONGEST_KEEP_MILLISECONDS,
      keepAliveTimeoutThreshold: KEEP_MARGIN_MILLISECONDS,
      connect: { timeout: this._options.connectMilliseconds },
    });
    client.on('disconnect', () => {
      if (this._idle.includes(client)) this._discard(client);
    });
    return client;
  }

  private _discard(client: Client): void {
    this._all.delete(client);
    const position = this._idle.indexOf(client);
    if (position >= 0) this._idle.splice(position, 1);
    void client.destroy().catch(() => undefined);
  }
}
