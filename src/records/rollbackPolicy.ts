/** Decides for how long records from before a rollback of the store stay in force. */
import type { StoredObject } from './watchableStore.js';

/**
 * Each method returns a time in milliseconds: 0 if the record does not stay in force, infinite if it stays until the
 * store has the same record or a later one.
 */
export interface RollbackPolicy {
  /** The store has `stored` in place of `former`. */
  replaced(former: StoredObject, stored: StoredObject): number;
  /** The store has nothing in place of `former`. */
  missing(former: StoredObject): number;
  /** The store has `stored` again, although the object was deleted; `last` is its state before the deletion. */
  deleted(last: StoredObject, stored: StoredObject): number;
}
