/** Keeps the operator's highest version in force over a rollback: the operator writes it again. */
import type { RollbackPolicy } from '../records/rollbackPolicy.js';
import type { StoredObject } from '../records/watchableStore.js';

export class VersionRollbackPolicy implements RollbackPolicy {
  private readonly _numberOf: (object: StoredObject) => number | undefined;

  /** `numberOf` reads the operator's version of an object; undefined where that is invalid. */
  constructor(numberOf: (object: StoredObject) => number | undefined) {
    this._numberOf = numberOf;
  }

  replaced(former: StoredObject, stored: StoredObject): number {
    const number = this._numberOf(former);
    if (number === undefined) return 0;
    return number > (this._numberOf(stored) ?? Number.NEGATIVE_INFINITY) ? Number.POSITIVE_INFINITY : 0;
  }

  missing(former: StoredObject): number {
    return this._numberOf(former) === undefined ? 0 : Number.POSITIVE_INFINITY;
  }

  deleted(): number {
    return 0;
  }
}
