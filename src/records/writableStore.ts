/**
 * A store whose objects are written one by one. Each write requires a revision of the object (optimistic locking).
 */
import type { StoredObject } from './watchableStore.js';

/** Result of a write. `conflict`: the store has `object` at another revision, or undefined if it has none. */
export type WriteAnswer =
  { kind: 'done'; revision: number } | { kind: 'conflict'; object: StoredObject | undefined };

/** The object that a write changes. */
export interface WrittenObject {
  kind: string;
  name: string;
  /** Revision that the object must have; 0 if it must not exist. */
  revision: number;
}

/**
 * Each method rejects with a StepError if there is no usable answer. The write may then have been done, or may still
 * be done later.
 */
export interface WritableStore {
  /** Creates or replaces an object. */
  put(object: WrittenObject, value: unknown): Promise<WriteAnswer>;
  /** Deletes an object. The answer holds the revision of the deletion, or the lowest that it can have. */
  remove(object: WrittenObject): Promise<WriteAnswer>;
}
