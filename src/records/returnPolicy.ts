/** What a store had before it came back from an older copy, weighed against what it has since. */
import type { StoredObject } from './watchableStore.js';

/** Each answer is how long, in milliseconds, the earlier word counts: 0 not at all, infinite until the store says as much. */
export interface ReturnPolicy {
  /** `stored` stands in the place of `held`. */
  replaced(held: StoredObject, stored: StoredObject): number;
  /** Nothing stands in the place of `held`. */
  missing(held: StoredObject): number;
  /** `stored` stands there again after `last` was deleted. */
  deleted(last: StoredObject, stored: StoredObject): number;
}
