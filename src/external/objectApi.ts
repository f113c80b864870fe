/** Interface of the platform's object API, which holds all state that must be durable or consistent between boxes. */

/** An object. Revisions are global: each write of any object gets a higher one than all writes before. */
export interface ApiObject {
  key: string;
  revision: number;
  value: unknown;
}

/** A change of an object. `value` is null for a deletion. */
export interface ApiChange {
  key: string;
  revision: number;
  value: unknown;
  deleted: boolean;
}

/** All objects at `revision`. */
export interface ApiListing {
  revision: number;
  objects: ApiObject[];
}

/**
 * Changes after a given revision, ordered by revision. `truncated` means that the API no longer has all of them, so
 * that the reader needs a listing.
 */
export interface ApiChanges {
  revision: number;
  changes: ApiChange[];
  truncated: boolean;
}

/** Outcome of a conditional write. `unknown` means that it may or may not have taken effect. */
export type WriteOutcome =
  | { kind: 'written'; revision: number }
  | { kind: 'conflict' }
  /** Nothing was written. `limited` means that the API rejected the write because of its rate limit. */
  | { kind: 'refused'; reason: string; limited: boolean }
  | { kind: 'unknown'; reason: string };

/** Reads throw a StepError if there is no valid answer. */
export interface ObjectApi {
  get(key: string): Promise<ApiObject | undefined>;
  list(): Promise<ApiListing>;
  /** Waits for changes after `revision` (long polling). Counts as one call while it waits. */
  watch(revision: number, signal: AbortSignal): Promise<ApiChanges>;
  /** Writes if the object is at `expectedRevision`; 0 means that it must not exist. */
  put(key: string, value: unknown, expectedRevision: number): Promise<WriteOutcome>;
  /** Deletes if the object is at `expectedRevision`. */
  delete(key: string, expectedRevision: number): Promise<WriteOutcome>;
}
