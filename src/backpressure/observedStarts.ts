/** Recognises backend servers that start while this process runs. */
import { LRUCache } from 'lru-cache';

/** Maximum number of servers that are remembered after service discovery has lost them. */
const MAX_SERVERS = 1_000;

/**
 * A server of this process's first list may have run for long, so it is not a start. Nor is an incarnation that service
 * discovery lists again after its record was missing for a while.
 */
export class ObservedStarts {
  /** Start of the latest known incarnation by server id; 0 when unknown. */
  private readonly _startedAt = new LRUCache<string, number>({ max: MAX_SERVERS });
  private _isFirstList = true;

  /** Records that the server is listed, or has restarted. Returns whether it has started since the first list. */
  note(server: string, startedAt: number): boolean {
    const known = this._startedAt.get(server);
    this._startedAt.set(server, startedAt);
    const isSame = known === startedAt && startedAt > 0;
    return !this._isFirstList && !isSame;
  }

  /** Records that a list is complete. */
  endList(): void {
    this._isFirstList = false;
  }
}
