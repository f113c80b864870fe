/** The platform's object API: what must last or be agreed lives there. */

/** One object. `revision` is global: every write of any object gets a higher one. */
export interface ApiObject {
  key: string;
  revision: number;
  value: unknown;
}

/** One change in the order of revisions; `value` is null for a deletion. */
export interface ApiChange {
  key: string;
  revision: number;
  value: unknown;
  deleted: boolean;
}

/** Everything the API holds, as of `revision`. */
export interface ApiListing {
  revision: number;
  objects: ApiObject[];
}

/** Changes after some revision; `truncated` when the API no longer has all of them and a listing is needed. */
export interface ApiChanges {
  revision: number;
  changes: ApiChange[];
  truncated: boolean;
}

/** What came of a conditional write. `unknown`: it may or may not have taken effect. */
export type WriteOutcome =
  | { kind: 'written'; revision: number }
  | { kind: 'conflict' }
  /** Nothing was written; `limited` when there were too many writes. */
  | { kind: 'refused'; reason: string; limited: boolean }
  | { kind: 'unknown'; reason: string };

/** The object API as the rest of the system sees it. Reads throw a StepError when there is no answer. */
export interface ObjectApi {
  get(key: string): Promise<ApiObject | undefined>;
  list(): Promise<ApiListing>;
  /** Waits for changes after `revision`; counts as one call while it waits. */
  watch(revision: number, signal: AbortSignal): Promise<ApiChanges>;
  /** Writes when the object is at `expectedRevision`; 0 means that it must not exist. */
  put(key: string, value: unknown, expectedRevision: number): Promise<WriteOutcome>;
  /** Deletes when the object is at `expectedRevision`. */
  delete(key: string, expectedRevision: number): Promise<WriteOutcome>;
}
