/**
 * Words of the store that count on after it has come back from an older copy, which lacks them: until the store says as much, or until
 * whoever wrote them would have written them again.
 */
import { isDeepStrictEqual } from 'node:util';
import { LRUCache } from 'lru-cache';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { ReturnPolicy } from './returnPolicy.js';
import { revisionFields } from './storeRevision.js';
import type { StoredObject } from './watchableStore.js';

/** A word that counts on. */
export interface HeldRecord {
  /** What the store had; the last it had if `gone`. */
  object: StoredObject;
  /** Whether the object had been deleted. */
  gone: boolean;
  /** Monotonic milliseconds. */
  since: number;
}

/** A word beside what the store has in its place. */
interface Holding extends HeldRecord {
  stored: StoredObject | undefined;
  milliseconds: number;
}

/** How the store tells what it has: all that there is, or what was written just now. */
export type StoredBy = 'listing' | 'change';

/** What held words are kept with. */
export interface HeldRecordsOptions {
  kind: string;
  policy: ReturnPolicy;
  /** Whether objects may be missing that were only not renewed while the store was away. */
  mayHaveLapsed: () => boolean;
  clock: Clock;
  log: EventLog;
}

/** Objects whose deletion is remembered. */
const MOST_DELETED = 2_000;

export class HeldRecords {
  private readonly _options: HeldRecordsOptions;
  private readonly _holdings = new Map<string, Holding>();
  private readonly _deleted = new LRUCache<string, StoredObject>({ max: MOST_DELETED });

  constructor(options: HeldRecordsOptions) {
    this._options = options;
  }

  get size(): number {
    return this._holdings.size;
  }

  all(): readonly HeldRecord[] {
    return [...this._holdings.values()].map(({ object, gone, since }) => ({ object, gone, since }));
  }

  /** What the store has under a name that is held; undefined where it has nothing, or nothing is held. */
  storedInPlaceOf(name: string): StoredObject | undefined {
    return this._holdings.get(name)?.stored;
  }

  has(name: string): boolean {
    return this._holdings.has(name);
  }

  /** The store has an object no longer. */
  noteDeleted(last: StoredObject): void {
    if (!this._options.mayHaveLapsed()) this._deleted.set(last.name, last);
  }

  /** An object stands in the store. */
  noteWritten(name: string): void {
    this._deleted.delete(name);
  }

  /**
   * The store has come back with `stored`, where it had `before`. What counts on takes its place in the order at `revision`, the one at
   * which the store was read: after the copy, and before all that is written from now on.
   */
  begin(
    before: ReadonlyMap<string, StoredObject>,
    stored: ReadonlyMap<string, StoredObject>,
    revision: number,
  ): void {
    this._holdings.clear();
    const since = this._options.clock.now();
    for (const object of before.values())
      this._weigh({ object: { ...object, revision }, gone: false, since }, stored.get(object.name));
    for (const object of this._deleted.values())
      this._weigh({ object, gone: true, since }, stored.get(object.name));
    const { kind, log } = this._options;
    log.state('records.returned', { kind, ...revisionFields(revision), held: this._holdings.size });
  }

  /** Takes what another entry holds, beside what the store has here; returns whether it counts for more than what was held. */
  adopt(record: HeldRecord, stored: StoredObject | undefined): boolean {
    const { name } = record.object;
    const known = this._holdings.get(name);
    const isNews = known ? !known.gone && this._outweighs(record, known.object) : !this._deleted.has(name);
    return isNews && this._weigh(record, stored);
  }

  /** What is to be believed where the store has `stored` by now. */
  judge(name: string, stored: StoredObject | undefined, by: StoredBy): StoredObject | undefined {
    const holding = this._holdings.get(name);
    if (!holding) return stored;
    if (this._isConfirmed(holding, stored, by)) {
      this._release(name, 'written again');
      return stored;
    }
    holding.stored = stored;
    return holding.gone ? undefined : holding.object;
  }

  /**
   * Ends what has counted for long enough: the store was last regained at `regainedAt` and has confirmed the copies up to
   * `confirmedAt`, both in monotonic milliseconds. Returns what the store has in its place.
   */
  releaseLapsed(regainedAt: number, confirmedAt: number): ReadonlyMap<string, StoredObject | undefined> {
    const released = new Map<string, StoredObject | undefined>();
    for (const [name, { since, milliseconds, stored }] of this._holdings) {
      if (confirmedAt - Math.max(since, regainedAt) < milliseconds) continue;
      this._release(name, 'not written again');
      released.set(name, stored);
    }
    return released;
  }

  /** Holds a word as long as its policy says; returns whether that is at all. */
  private _weigh(record: HeldRecord, stored: StoredObject | undefined): boolean {
    const milliseconds = this._timeOf(record, stored);
    if (milliseconds === 0) return false;
    const { kind, log } = this._options;
    const { name } = record.object;
    this._holdings.set(name, { ...record, stored, milliseconds });
    const reason = record.gone ? 'deleted' : stored ? 'replaced' : 'missing';
    const until = Number.isFinite(milliseconds) ? milliseconds : undefined;
    log.state('record.held', {
      kind,
      name,
      reason,
      milliseconds: until,
      ...revisionFields(record.object.revision),
    });
    return true;
  }

  private _timeOf({ object, gone }: HeldRecord, stored: StoredObject | undefined): number {
    const { policy } = this._options;
    if (gone) return stored ? policy.deleted(object, stored) : 0;
    if (!stored) return policy.missing(object);
    return isDeepStrictEqual(object.value, stored.value) ? 0 : policy.replaced(object, stored);
  }

  private _outweighs(record: HeldRecord, known: StoredObject): boolean {
    return !record.gone && this._options.policy.replaced(record.object, known) > 0;
  }

  /** Whether the store says as much as what is held, or more. */
  private _isConfirmed(holding: Holding, stored: StoredObject | undefined, by: StoredBy): boolean {
    const isWritten = by === 'change' || stored?.revision !== holding.stored?.revision;
    if (!isWritten) return false;
    return holding.gone || !stored || this._timeOf(holding, stored) === 0;
  }

  private _release(name: string, reason: string): void {
    const { kind, log } = this._options;
    this._holdings.delete(name);
    log.state('record.released', { kind, name, reason });
  }
}
