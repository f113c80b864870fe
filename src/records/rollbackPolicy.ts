/** Decides for how long a record of before a rollback stays in force. */
import type { StoredObject } from './watchableStore.js';

/** Answers are in milliseconds: 0 not at all, infinite until the store has the record again or a later one. */
export interface RollbackPolicy {
  /** The store has `stored` in place of `former`. */
  replaced(former: StoredObject, stored: StoredObject): number;
  /** The store has nothing in place of `former`. */
  missing(former: StoredObject): number;
  /** The store has `stored` again, though `last` was deleted. */
  deleted(last: StoredObject, stored: StoredObject): number;
}
