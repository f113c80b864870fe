/**
 * Retains the records of backend servers across a rollback of the store. A running server renews its record at each
 * heartbeat; the record of a stopped server expires after a few heartbeats.
 */
import type { RollbackPolicy } from '../records/rollbackPolicy.js';
import type { StoredObject } from '../records/watchableStore.js';
import type { BackendServerRecord } from './backendServerRecord.js';
import { UNKNOWN_START } from './serverIncarnation.js';

/** Heartbeats within which a running server renews its record; the first may just have been missed. */
const RENEWAL_HEARTBEATS = 2;
/** Heartbeats until the record of a stopped server has expired, with a margin for a store that was just restored. */
const EXPIRY_HEARTBEATS = 10;

export class ServerRollbackPolicy implements RollbackPolicy {
  private readonly _decode: (object: StoredObject) => BackendServerRecord | undefined;
  private readonly _heartbeatMilliseconds: number;

  /** `decode` decodes a record; it returns undefined if the record is invalid. */
  constructor(
    decode: (object: StoredObject) => BackendServerRecord | undefined,
    heartbeatMilliseconds: number,
  ) {
    this._decode = decode;
    this._heartbeatMilliseconds = heartbeatMilliseconds;
  }

  /** A draining incarnation does not become ready again, and an earlier incarnation does not replace a later one. */
  replaced(before: StoredObject, stored: StoredObject): number {
    const former = this._decode(before);
    const current = this._decode(stored);
    if (!former || !current) return 0;
    if (former.startedAt === current.startedAt)
      return former.draining && !current.draining ? Number.POSITIVE_INFINITY : 0;
    return isLater(former, current) ? EXPIRY_HEARTBEATS * this._heartbeatMilliseconds : 0;
  }

  missing(former: StoredObject): number {
    return this._decode(former) ? RENEWAL_HEARTBEATS * this._heartbeatMilliseconds : 0;
  }

  /** An incarnation whose record was deleted has ended, or is draining although its record did not say so. */
  deleted(last: StoredObject, stored: StoredObject): number {
    const former = this._decode(last);
    const current = this._decode(stored);
    if (!former || !current || isLater(current, former)) return 0;
    return EXPIRY_HEARTBEATS * this._heartbeatMilliseconds;
  }
}

function isLater(a: BackendServerRecord, b: BackendServerRecord): boolean {
  return b.startedAt !== UNKNOWN_START && a.startedAt > b.startedAt;
}
