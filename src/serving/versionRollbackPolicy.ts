/**
 * Retains the highest version that the operator has written across a rollback, until the operator writes it again.
 */
import type { RollbackPolicy } from '../records/rollbackPolicy.js';
import type { StoredObject } from '../records/watchableStore.js';

export class VersionRollbackPolicy implements RollbackPolicy {
  private readonly _versionOf: (object: StoredObject) => number | undefined;

  /** `versionOf` reads the operator's version from an object; undefined if it is invalid. */
  constructor(versionOf: (object: StoredObject) => number | undefined) {
    this._versionOf = versionOf;
  }

  replaced(former: StoredObject, stored: StoredObject): number {
    const version = this._versionOf(former);
    if (version === undefined) return 0;
    return version > (this._versionOf(stored) ?? Number.NEGATIVE_INFINITY) ? Number.POSITIVE_INFINITY : 0;
  }

  missing(former: StoredObject): number {
    return this._versionOf(former) === undefined ? 0 : Number.POSITIVE_INFINITY;
  }

  deleted(): number {
    return 0;
  }
}
