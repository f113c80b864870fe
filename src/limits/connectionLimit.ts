/** Limits the connections that clients keep open. */

/** A connection that counts against a {@link ConnectionLimit}. */
export interface LimitedConnection {
  /** Monotonic milliseconds since when the client has sent and read nothing; undefined if it waits for this process. */
  readonly idleSince: number | undefined;
  /** Closes the connection at once. */
  close(): void;
}

export class ConnectionLimit {
  private readonly _maximum: number;
  private readonly _open = new Set<LimitedConnection>();
  private _closed = 0;

  constructor(maximum: number) {
    this._maximum = maximum;
  }

  /** Number of open connections. */
  get count(): number {
    return this._open.size;
  }

  /** Number of connections that were closed since the start because of the limit. */
  get closed(): number {
    return this._closed;
  }

  /**
   * Counts a new connection. At the limit, closes the one whose client has been idle for longest; if there is none,
   * returns false, and the new connection must be closed.
   */
  add(connection: LimitedConnection): boolean {
    if (this._open.size >= this._maximum && !this._closeIdle()) {
      this._closed++;
      return false;
    }
    this._open.add(connection);
    return true;
  }

  remove(connection: LimitedConnection): void {
    this._open.delete(connection);
  }

  private _closeIdle(): boolean {
    let longest: LimitedConnection | undefined;
    let longestSince = Infinity;
    for (const connection of this._open) {
      const since = connection.idleSince ?? Infinity;
      if (since < longestSince) [longest, longestSince] = [connection, since];
    }
    if (!longest) return false;
    this._closed++;
    this._open.delete(longest);
    longest.close();
    return true;
  }
}
