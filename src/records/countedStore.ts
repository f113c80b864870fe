/** Counts the calls to a store, because each one has a cost on the platform, answered or not. */
import type { KindChanges, KindListing, WatchableStore } from './watchableStore.js';
import type { WritableStore, WriteAnswer, WrittenObject } from './writableStore.js';

/** The operations of a store, as metrics name them. */
export type StoreCall = 'probe' | 'list' | 'list-stale' | 'watch' | 'put' | 'remove';

export class CountedStore implements WatchableStore, WritableStore {
  private readonly _store: WatchableStore & WritableStore;
  private readonly _count: (call: StoreCall, kind: string) => void;

  /** `count` is called before each call of the store; `kind` is '' for probes. */
  constructor(store: WatchableStore & WritableStore, count: (call: StoreCall, kind: string) => void) {
    this._store = store;
    this._count = count;
  }

  async probe(timeoutMilliseconds: number, signal: AbortSignal): Promise<number> {
    this._count('probe', '');
    return await this._store.probe(timeoutMilliseconds, signal);
  }

  async list(kind: string, signal: AbortSignal): Promise<KindListing> {
    this._count('list', kind);
    return await this._store.list(kind, signal);
  }

  async listStale(kind: string, signal: AbortSignal): Promise<KindListing> {
    this._count('list-stale', kind);
    return await this._store.listStale(kind, signal);
  }

  async watch(
    kind: string,
    revision: number,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<KindChanges> {
    this._count('watch', kind);
    return await this._store.watch(kind, revision, waitMilliseconds, signal);
  }

  async put(object: WrittenObject, value: unknown): Promise<WriteAnswer> {
    this._count('put', object.kind);
    return await this._store.put(object, value);
  }

  async remove(object: WrittenObject): Promise<WriteAnswer> {
    this._count('remove', object.kind);
    return await this._store.remove(object);
  }
}
