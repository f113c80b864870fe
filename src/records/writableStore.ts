/** A store whose objects are written one by one, each write bound to the revision that it changes. */
import type { StoredObject } from './watchableStore.js';

/** What came of a write; `conflict`: the object is another one by now, undefined when there is none. */
export type WriteAnswer =
  { kind: 'done'; revision: number } | { kind: 'conflict'; object: StoredObject | undefined };

/** The object that a write changes. */
export interface WrittenObject {
  kind: string;
  name: string;
  /** Revision that it has to have, 0 when there must be none. */
  revision: number;
}

/** Writes throw a StepError when there is no usable answer: then they may have been done, or may be done later. */
export interface WritableStore {
  /** Creates or replaces an object. */
  put(object: WrittenObject, value: unknown): Promise<WriteAnswer>;
  /** Deletes an object; the revision is that of the deletion, or the least that it can have. */
  remove(object: WrittenObject): Promise<WriteAnswer>;
}
