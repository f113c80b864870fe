/**
 * A store of objects by kind and name, which can be listed and watched. Its revisions keep their order across
 * rollbacks to an older snapshot (`storeRevision.ts`).
 */

/** An object at a revision of the store. */
export interface StoredObject {
  name: string;
  revision: number;
  value: unknown;
}

/** All objects of a kind at `revision`. */
export interface KindListing {
  revision: number;
  objects: StoredObject[];
}

/** A change; `gone` if the object was deleted. */
export interface ObjectChange {
  object: StoredObject;
  gone: boolean;
}

/** All changes up to `revision`, or `history-lost` if the store no longer has all of them. */
export type KindChanges =
  { kind: 'changes'; revision: number; changes: ObjectChange[] } | { kind: 'history-lost' };

/** Each method rejects with a StepError if there is no usable answer. */
export interface WatchableStore {
  /** Checks by the cheapest read whether the store answers; returns its generation. */
  probe(timeoutMilliseconds: number, signal: AbortSignal): Promise<number>;
  list(kind: string, signal: AbortSignal): Promise<KindListing>;
  /**
   * Lists at a fraction of the cost, but perhaps as of some seconds ago, or from the previous generation. The
   * revisions must not be compared with others.
   */
  listStale(kind: string, signal: AbortSignal): Promise<KindListing>;
  /** Waits up to `waitMilliseconds` for a change after `revision`. */
  watch(kind: string, revision: number, waitMilliseconds: number, signal: AbortSignal): Promise<KindChanges>;
}
