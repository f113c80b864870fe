/**
 * This process's copy of all objects of one kind, whoever brings it: only ever a newer one. Where the store has come back from an older
 * copy, what it had before may count on.
 */
import { EventEmitter } from 'node:events';
import type { HeldRecord, HeldRecords } from './heldRecords.js';
import { eraOf } from './storeRevision.js';
import type { KindListing, ObjectChange, StoredObject } from './watchableStore.js';

/** How much a change matters: `minor` may wait for others, `none` changes nothing that is used. */
export type ChangeWeight = 'none' | 'minor' | 'urgent';

/** Weighs a change of one object; undefined stands for an object that is not there. */
export type WeighChange = (before: StoredObject | undefined, after: StoredObject | undefined) => ChangeWeight;

/**
 * Where a change comes from: the store, for what it has or for its return from an older copy (`return`), or the end of what counted on
 * after such a return, or another entry that knows of more (`held`).
 */
export type ChangeCause = 'store' | 'return' | 'held';

/** What has changed in a copy; `whole` when it was replaced. */
export interface ReplicaChange {
  cause: ChangeCause;
  whole: boolean;
  /** As the store has them. */
  changes: readonly ObjectChange[];
}

interface EarlyRecords {
  revision: number;
  records: readonly HeldRecord[];
}

/** Words of other entries that wait for a copy: each tells all that it holds. */
const MOST_EARLY = 8;

interface RecordReplicaEvents {
  change: [ReplicaChange];
}

/** Emits `change` when something has changed that is used. */
export class RecordReplica extends EventEmitter<RecordReplicaEvents> {
  readonly kind: string;
  /** What is believed. */
  readonly objects = new Map<string, StoredObject>();
  private readonly _weigh: WeighChange;
  private readonly _held: HeldRecords | undefined;
  private _revision = 0;
  private _newestChange = 0;
  /** What other entries hold as of an era of which there is no copy here yet. */
  private _early: EarlyRecords[] = [];

  /** Without `held`, nothing counts on. */
  constructor(kind: string, weigh: WeighChange = () => 'urgent', held?: HeldRecords) {
    super();
    this.kind = kind;
    this._weigh = weigh;
    this._held = held;
    this.setMaxListeners(0);
  }

  /** Revision of the store that the copy reflects, 0 before there is one. */
  get revision(): number {
    return this._revision;
  }

  /** Revision of the newest change that is known, at most that of the copy. */
  get newestChange(): number {
    return this._newestChange;
  }

  /** What counts on since the store has come back from an older copy. */
  get held(): readonly HeldRecord[] {
    return this._held?.all() ?? [];
  }

  /** All objects as the store has them. */
  get stored(): readonly StoredObject[] {
    const believed = [...this.objects.values()].filter(({ name }) => !this._held?.has(name));
    const inPlace = this.held.flatMap(({ object }) => this._held?.storedInPlaceOf(object.name) ?? []);
    return [...believed, ...inPlace];
  }

  /** Takes what the store may have had some seconds ago, until there is a copy. */
  takeProvisional(objects: readonly StoredObject[]): void {
    if (this._revision > 0) return;
    for (const object of objects) this.objects.set(object.name, object);
    this.emit('change', { cause: 'store', whole: true, changes: [] });
  }

  /** Replaces the copy, unless the listing is older than it. */
  takeListing(listing: KindListing): void {
    const { revision } = listing;
    if (revision < this._revision) return;
    const isFirst = this._revision === 0;
    const isReturn = !isFirst && !this._isOfThisEra(revision);
    const weight = this._replace(listing, isReturn);
    this._revision = revision;
    const cause = isReturn ? 'return' : 'store';
    if (weight !== 'none' || isFirst || isReturn) this.emit('change', { cause, whole: true, changes: [] });
    if (isFirst || isReturn) this._takeEarly();
  }

  /** Takes what has changed up to `revision` in the era of the copy; returns how much that matters. */
  takeChanges(revision: number, changes: readonly ObjectChange[]): ChangeWeight {
    if (revision <= this._revision || !this._isOfThisEra(revision)) return 'none';
    const newer = changes.filter((change) => this._isNewer(change));
    const deleted = newer.filter(({ gone }) => gone);
    this._noteDeleted(deleted.flatMap(({ object }) => this.objects.get(object.name) ?? []));
    const weight = this._apply(newer, 'change');
    this._revision = revision;
    if (weight !== 'none') this.emit('change', { cause: 'store', whole: false, changes: newer });
    return weight;
  }

  /** Takes what counts on at another entry whose copy is of the era of `revision`. */
  takeHeld(revision: number, records: readonly HeldRecord[]): void {
    const isEarly = this._revision === 0 || eraOf(revision) > eraOf(this._revision);
    if (isEarly) this._early = [...this._early, { revision, records }].slice(-MOST_EARLY);
    if (isEarly || !this._isOfThisEra(revision)) return;
    const taken = records.filter((record) => this._held?.adopt(record, this._storedOf(record.object.name)));
    if (taken.length > 0) this._believe(taken.map(({ object, gone }) => ({ object, gone })));
  }

  /** Ends what has counted on for long enough (`HeldRecords.releaseLapsed`). */
  releaseHeld(regainedAt: number, confirmedAt: number): void {
    if (!this._held || this._held.size === 0) return;
    const released = this._held.releaseLapsed(regainedAt, confirmedAt);
    const changes = [...released].flatMap(([name, stored]) => {
      const object = stored ?? this.objects.get(name);
      return object ? [{ object, gone: !stored }] : [];
    });
    if (changes.length > 0) this._believe(changes);
  }

  /** Notes that the copy is as the store had it at `revision`, with what is used of its changes up to `newestChange`. */
  noteRevision(revision: number, newestChange: number): void {
    if (!this._isOfThisEra(revision)) return;
    this._revision = Math.max(this._revision, revision);
    this._newestChange = Math.max(this._newestChange, newestChange);
  }

  private _replace({ revision, objects }: KindListing, isReturn: boolean): ChangeWeight {
    const stored = new Map(objects.map((object) => [object.name, object]));
    const gone = [...this.objects.values()].filter(({ name }) => !stored.has(name));
    if (isReturn) this._held?.begin(this.objects, stored, revision);
    else if (this._revision > 0) this._noteDeleted(gone.filter(({ name }) => this._storedOf(name)));
    return this._apply([
      ...objects.map((object) => ({ object, gone: false })),
      ...gone.map((object) => ({ object, gone: true })),
    ]);
  }

  private _takeEarly(): void {
    const early = this._early;
    this._early = [];
    for (const { revision, records } of early) this.takeHeld(revision, records);
  }

  private _isOfThisEra(revision: number): boolean {
    return eraOf(revision) === eraOf(this._revision);
  }

  private _storedOf(name: string): StoredObject | undefined {
    return this._held?.has(name) ? this._held.storedInPlaceOf(name) : this.objects.get(name);
  }

  /** Whether a change is not in the copy yet. Deletions may carry the revision of the change before. */
  private _isNewer({ object, gone }: ObjectChange): boolean {
    if (!gone) return object.revision > this._revision;
    return object.revision >= (this.objects.get(object.name)?.revision ?? 0);
  }

  private _noteDeleted(objects: readonly StoredObject[]): void {
    for (const object of objects) this._held?.noteDeleted(object);
  }

  /** Takes changes of the store as far as they are believed. */
  private _apply(changes: readonly ObjectChange[], by: 'listing' | 'change' = 'listing'): ChangeWeight {
    let weight: ChangeWeight = 'none';
    for (const { object, gone } of changes) {
      const { name, revision } = object;
      this._newestChange = Math.max(this._newestChange, revision);
      const stored = gone ? undefined : object;
      const believed = this._held ? this._held.judge(name, stored, by) : stored;
      weight = heavier(weight, this._set(name, believed));
    }
    return weight;
  }

  private _believe(changes: readonly ObjectChange[]): void {
    const weights = changes.map(({ object, gone }) => this._set(object.name, gone ? undefined : object));
    const isUsed = weights.some((weight) => weight !== 'none');
    if (isUsed) this.emit('change', { cause: 'held', whole: false, changes: [] });
  }

  private _set(name: string, object: StoredObject | undefined): ChangeWeight {
    const weight = this._weigh(this.objects.get(name), object);
    if (!object) this.objects.delete(name);
    else {
      this.objects.set(name, object);
      this._held?.noteWritten(name);
    }
    return weight;
  }
}

function heavier(a: ChangeWeight, b: ChangeWeight): ChangeWeight {
  const order: readonly ChangeWeight[] = ['none', 'minor', 'urgent'];
  return order.indexOf(a) >= order.indexOf(b) ? a : b;
}
