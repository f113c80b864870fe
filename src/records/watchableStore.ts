/**
 * A store of objects by kind and name, which can be listed and watched. Its revisions are ordered over rollbacks to an older snapshot
 * (`storeRevision.ts`).
 */

/** One object as of a revision of the store. */
export interface StoredObject {
  name: string;
  revision: number;
  value: unknown;
}

/** All objects of a kind, as of `revision`. */
export interface KindListing {
  revision: number;
  objects: StoredObject[];
}

/** One change; `gone` when the object was deleted. */
export interface ObjectChange {
  object: StoredObject;
  gone: boolean;
}

/** Changes up to `revision`, or the news that the store no longer has them all. */
export type KindChanges =
  { kind: 'changes'; revision: number; changes: ObjectChange[] } | { kind: 'history-lost' };

/** Reads throw a StepError when there is no usable answer. */
export interface WatchableStore {
  /** Asks for the generation of the store, which tells whether it answers at all, by the cheapest read there is. */
  probe(timeoutMilliseconds: number, signal: AbortSignal): Promise<number>;
  list(kind: string, signal: AbortSignal): Promise<KindListing>;
  /** The same at a fraction of the price, but perhaps as of some seconds ago, or of the generation before: its revisions order nothing. */
  listStale(kind: string, signal: AbortSignal): Promise<KindListing>;
  /** Waits up to `waitMilliseconds` for a change after `revision`. */
  watch(kind: string, revision: number, waitMilliseconds: number, signal: AbortSignal): Promise<KindChanges>;
}
