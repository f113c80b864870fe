/**
 * Records that stay in force after a rollback of the store to a snapshot without them, until the store has them
 * again, or until their writer has had enough time to write them again.
 */
import { isDeepStrictEqual } from 'node:util';
import { LRUCache } from 'lru-cache';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { RollbackPolicy } from './rollbackPolicy.js';
import { revisionFields } from './storeRevision.js';
import type { StoredObject } from './watchableStore.js';

/** A record that stays in force after a rollback. */
export interface RetainedRecord {
  /** The object before the rollback, or before its deletion if `gone`. */
  object: StoredObject;
  /** Whether the object was deleted before the rollback. */
  gone: boolean;
  /** Monotonic milliseconds at which the first entry that retains the record saw the rollback. */
  since: number;
}

/** A retained record, what the store has in its place, and how long the record is retained. */
interface Retention extends RetainedRecord {
  stored: StoredObject | undefined;
  milliseconds: number;
}

/** How the state of an object became known: from a listing, or as a change that was just written. */
export type ObservedVia = 'listing' | 'change';

export interface RetainedRecordsOptions {
  kind: string;
  policy: RollbackPolicy;
  /** Whether objects may be missing because they expired during an outage, when they could not be renewed. */
  mayHaveExpired: () => boolean;
  clock: Clock;
  log: EventLog;
}

/** Number of deleted objects that are remembered, so that a rollback does not bring them back. */
const MAX_DELETED = 2_000;

export class RetainedRecords {
  private readonly _options: RetainedRecordsOptions;
  private readonly _retentions = new Map<string, Retention>();
  private readonly _deleted = new LRUCache<string, StoredObject>({ max: MAX_DELETED });

  constructor(options: RetainedRecordsOptions) {
    this._options = options;
  }

  get size(): number {
    return this._retentions.size;
  }

  all(): readonly RetainedRecord[] {
    return [...this._retentions.values()].map(({ object, gone, since }) => ({ object, gone, since }));
  }

  /**
   * What the store has in place of a retained record; undefined if it has nothing, or if the record is not retained.
   */
  storedInsteadOf(name: string): StoredObject | undefined {
    return this._retentions.get(name)?.stored;
  }

  has(name: string): boolean {
    return this._retentions.has(name);
  }

  /** Remembers that an object was deleted. An object missing from a listing after an outage may have expired. */
  rememberDeletion(last: StoredObject, via: ObservedVia): void {
    const mayHaveExpired = via === 'listing' && this._options.mayHaveExpired();
    if (!mayHaveExpired) this._deleted.set(last.name, last);
  }

  /** Whether the deletion of an object is remembered, and the object has not existed since. */
  isDeleted(name: string): boolean {
    return this._deleted.has(name);
  }

  /** Forgets the deletion of an object that exists again. */
  forgetDeletion(name: string): void {
    this._deleted.delete(name);
  }

  /**
   * Compares the objects `before` a rollback with those `stored` after it, at `revision`, and retains what the store
   * has lost. Retained records get that revision, which orders them after the snapshot and before the next write.
   */
  onRollback(
    before: ReadonlyMap<string, StoredObject>,
    stored: ReadonlyMap<string, StoredObject>,
    revision: number,
  ): void {
    this._retentions.clear();
    const since = this._options.clock.now();
    for (const object of before.values())
      this._retainIfDifferent(
        { object: { ...object, revision }, gone: false, since },
        stored.get(object.name),
      );
    for (const object of this._deleted.values())
      this._retainIfDifferent({ object, gone: true, since }, stored.get(object.name));
    const { kind, log } = this._options;
    log.state('records.rolled-back', { kind, ...revisionFields(revision), retained: this._retentions.size });
  }

  /** Adopts a record that another entry retains, if it supersedes what this entry knows; returns whether it does. */
  adopt(record: RetainedRecord, stored: StoredObject | undefined): boolean {
    const { name } = record.object;
    const known = this._retentions.get(name);
    const isNewer = known ? !known.gone && this._supersedes(record, known.object) : !this._deleted.has(name);
    if (!isNewer) return false;
    const milliseconds = this._retentionMilliseconds(record, stored);
    const isOver = this._options.clock.now() - record.since >= milliseconds;
    if (isOver) return false;
    if (record.gone) this._deleted.set(name, record.object);
    this._retain(record, stored, milliseconds);
    return true;
  }

  /** Returns the object in force, given that the store now has `stored`. */
  resolve(name: string, stored: StoredObject | undefined, via: ObservedVia): StoredObject | undefined {
    const retention = this._retentions.get(name);
    if (!retention) return stored;
    if (this._isConfirmed(retention, stored, via)) {
      this._release(name, 'written again');
      return stored;
    }
    retention.stored = stored;
    return retention.gone ? undefined : retention.object;
  }

  /**
   * Releases records that have expired. Only the time in which the store answered counts: from `regainedAt`, when it
   * was regained, to `confirmedAt`, both in monotonic milliseconds. Returns what the store has in place of each
   * released record.
   */
  releaseExpired(regainedAt: number, confirmedAt: number): ReadonlyMap<string, StoredObject | undefined> {
    const released = new Map<string, StoredObject | undefined>();
    for (const [name, { since, milliseconds, stored }] of this._retentions) {
      if (confirmedAt - Math.max(since, regainedAt) < milliseconds) continue;
      this._release(name, 'not written again');
      released.set(name, stored);
    }
    return released;
  }

  /** Retains a record for the time that the policy returns, unless that is 0. */
  private _retainIfDifferent(record: RetainedRecord, stored: StoredObject | undefined): void {
    const milliseconds = this._retentionMilliseconds(record, stored);
    if (milliseconds > 0) this._retain(record, stored, milliseconds);
  }

  private _retain(record: RetainedRecord, stored: StoredObject | undefined, milliseconds: number): void {
    const { kind, log } = this._options;
    const { name } = record.object;
    this._retentions.set(name, { ...record, stored, milliseconds });
    const reason = record.gone ? 'deleted' : stored ? 'replaced' : 'missing';
    const expiresAfter = Number.isFinite(milliseconds) ? milliseconds : undefined;
    log.state('record.retained', {
      kind,
      name,
      reason,
      milliseconds: expiresAfter,
      ...revisionFields(record.object.revision),
    });
  }

  private _retentionMilliseconds({ object, gone }: RetainedRecord, stored: StoredObject | undefined): number {
    const { policy } = this._options;
    if (gone) return stored ? policy.deleted(object, stored) : 0;
    if (!stored) return policy.missing(object);
    return isDeepStrictEqual(object.value, stored.value) ? 0 : policy.replaced(object, stored);
  }

  private _supersedes(record: RetainedRecord, known: StoredObject): boolean {
    return !record.gone && this._options.policy.replaced(record.object, known) > 0;
  }

  /** Whether the store has the retained record again, or a later version of it. */
  private _isConfirmed(retention: Retention, stored: StoredObject | undefined, via: ObservedVia): boolean {
    const isWritten = via === 'change' || stored?.revision !== retention.stored?.revision;
    if (!isWritten) return false;
    return retention.gone || !stored || this._retentionMilliseconds(retention, stored) === 0;
  }

  private _release(name: string, reason: string): void {
    const { kind, log } = this._options;
    this._retentions.delete(name);
    log.state('record.released', { kind, name, reason });
  }
}
