/**
 * Keeps what backend servers said of themselves in force over a rollback. A running server renews its entry at each heartbeat; the entry
 * of one that has ended lapses after a few.
 */
import type { RollbackPolicy } from '../records/rollbackPolicy.js';
import type { StoredObject } from '../records/watchableStore.js';
import type { BackendServerRecord } from './backendServerRecord.js';
import { UNKNOWN_START } from './serverIncarnation.js';

/** Heartbeats in which a running server renews its entry: the first may just have been missed. */
const RENEWAL_HEARTBEATS = 2;
/** Heartbeats until the entry of a server that has ended has lapsed, with a margin for a store that has just been restored. */
const LAPSE_HEARTBEATS = 10;

export class ServerRollbackPolicy implements RollbackPolicy {
  private readonly _read: (object: StoredObject) => BackendServerRecord | undefined;
  private readonly _heartbeatMilliseconds: number;

  /** `read` decodes an entry; undefined where it is invalid. */
  constructor(
    read: (object: StoredObject) => BackendServerRecord | undefined,
    heartbeatMilliseconds: number,
  ) {
    this._read = read;
    this._heartbeatMilliseconds = heartbeatMilliseconds;
  }

  /** A draining server does not become ready again in the same life, and an earlier life does not replace a later one. */
  replaced(before: StoredObject, stored: StoredObject): number {
    const former = this._read(before);
    const present = this._read(stored);
    if (!former || !present) return 0;
    if (former.startedAt === present.startedAt)
      return former.draining && !present.draining ? Number.POSITIVE_INFINITY : 0;
    return isLater(former, present) ? LAPSE_HEARTBEATS * this._heartbeatMilliseconds : 0;
  }

  missing(former: StoredObject): number {
    return this._read(former) ? RENEWAL_HEARTBEATS * this._heartbeatMilliseconds : 0;
  }

  /** A life whose entry was deleted has ended, or drains without saying so. */
  deleted(last: StoredObject, stored: StoredObject): number {
    const former = this._read(last);
    const present = this._read(stored);
    if (!former || !present || isLater(present, former)) return 0;
    return LAPSE_HEARTBEATS * this._heartbeatMilliseconds;
  }
}

function isLater(a: BackendServerRecord, b: BackendServerRecord): boolean {
  return b.startedAt !== UNKNOWN_START && a.startedAt > b.startedAt;
}
