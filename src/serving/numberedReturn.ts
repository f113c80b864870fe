/** What the operator wrote before the store came back from an older copy: the higher number is the later word, and is written again. */
import type { ReturnPolicy } from '../records/returnPolicy.js';
import type { StoredObject } from '../records/watchableStore.js';

export class NumberedReturn implements ReturnPolicy {
  private readonly _numberOf: (object: StoredObject) => number | undefined;

  /** `numberOf` tells the operator's number of a word; undefined where it cannot be understood. */
  constructor(numberOf: (object: StoredObject) => number | undefined) {
    this._numberOf = numberOf;
  }

  replaced(held: StoredObject, stored: StoredObject): number {
    const number = this._numberOf(held);
    if (number === undefined) return 0;
    return number > (this._numberOf(stored) ?? Number.NEGATIVE_INFINITY) ? Number.POSITIVE_INFINITY : 0;
  }

  missing(held: StoredObject): number {
    return this._numberOf(held) === undefined ? 0 : Number.POSITIVE_INFINITY;
  }

  deleted(): number {
    return 0;
  }
}
