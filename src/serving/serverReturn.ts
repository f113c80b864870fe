/**
 * What backend servers said before the store came back from an older copy. A server renews its entry at each heartbeat, and the entry
 * of one that has ended goes when it has not been renewed for a few.
 */
import type { ReturnPolicy } from '../records/returnPolicy.js';
import type { StoredObject } from '../records/watchableStore.js';
import type { BackendServerRecord } from './backendServerRecord.js';
import { UNKNOWN_START } from './serverLife.js';

/** Heartbeats until a server that runs has written again: one may just have been missed. */
const RENEWAL_HEARTBEATS = 2;
/** Heartbeats until the entry of a server that has ended is certainly gone: a store that has just come back may take its time. */
const LAPSE_HEARTBEATS = 10;

export class ServerReturn implements ReturnPolicy {
  private readonly _read: (object: StoredObject) => BackendServerRecord | undefined;
  private readonly _heartbeatMilliseconds: number;

  /** `read` tells what an entry says; undefined where it cannot be understood. */
  constructor(
    read: (object: StoredObject) => BackendServerRecord | undefined,
    heartbeatMilliseconds: number,
  ) {
    this._read = read;
    this._heartbeatMilliseconds = heartbeatMilliseconds;
  }

  /** A server that has said it leaves goes on leaving in that life, and a later life takes the place of an earlier one. */
  replaced(held: StoredObject, stored: StoredObject): number {
    const former = this._read(held);
    const present = this._read(stored);
    if (!former || !present) return 0;
    if (former.startedAt === present.startedAt)
      return former.draining && !present.draining ? Number.POSITIVE_INFINITY : 0;
    return isLater(former, present) ? LAPSE_HEARTBEATS * this._heartbeatMilliseconds : 0;
  }

  missing(held: StoredObject): number {
    return this._read(held) ? RENEWAL_HEARTBEATS * this._heartbeatMilliseconds : 0;
  }

  /** The same life has ended, or leaves without a word and keeps serving. */
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
