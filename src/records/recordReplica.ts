/**
 * This process's copy of all objects of one kind, updated from the store or by other entries. An older update never
 * replaces a newer one. Records that a rollback of the store has lost may stay in force.
 */
import { EventEmitter } from 'node:events';
import type { RetainedRecord, RetainedRecords, ObservedVia } from './retainedRecords.js';
import { generationOf } from './storeRevision.js';
import type { KindListing, ObjectChange, StoredObject } from './watchableStore.js';

/**
 * How soon a change is needed. `minor`: it may wait for further changes. `none`: it affects nothing that this process
 * uses.
 */
export type ChangeUrgency = 'none' | 'minor' | 'urgent';

/** Classifies a change of one object; undefined stands for an object that does not exist. */
export type ClassifyChange = (
  before: StoredObject | undefined,
  after: StoredObject | undefined,
) => ChangeUrgency;

/**
 * Cause of a change: an update of the `store`, a `rollback` of the store, or records `retained` or released after a
 * rollback.
 */
export type ChangeCause = 'store' | 'rollback' | 'retained';

/** A change of a copy; `whole` if the copy was replaced. */
export interface ReplicaChange {
  cause: ChangeCause;
  whole: boolean;
  /** The changes in the store, whether they are in force or not. */
  changes: readonly ObjectChange[];
}

interface EarlyRecords {
  revision: number;
  records: readonly RetainedRecord[];
}

/** Messages of other entries that wait until there is a copy. Each holds all retained records of its sender. */
const MAX_EARLY_MESSAGES = 8;

interface RecordReplicaEvents {
  change: [ReplicaChange];
}

/** Emits `change` after each change that is not classified as `none`. */
export class RecordReplica extends EventEmitter<RecordReplicaEvents> {
  readonly kind: string;
  /** The objects in force. */
  readonly objects = new Map<string, StoredObject>();
  private readonly _classify: ClassifyChange;
  private readonly _retained: RetainedRecords | undefined;
  private _revision = 0;
  private _newestChange = 0;
  /** Retained records of other entries from a generation of which this process has no copy yet. */
  private _early: EarlyRecords[] = [];

  /** Without `retained`, the copy follows the store through a rollback. */
  constructor(kind: string, classify: ClassifyChange = () => 'urgent', retained?: RetainedRecords) {
    super();
    this.kind = kind;
    this._classify = classify;
    this._retained = retained;
    this.setMaxListeners(0);
  }

  /** Revision of the store up to which the copy is complete; 0 before there is a copy. */
  get revision(): number {
    return this._revision;
  }

  /** Revision of the newest known change; at most the revision of the copy. */
  get newestChange(): number {
    return this._newestChange;
  }

  /** Records that stay in force after a rollback of the store. */
  get retained(): readonly RetainedRecord[] {
    return this._retained?.all() ?? [];
  }

  /** All objects as the store holds them. */
  get stored(): readonly StoredObject[] {
    const inForce = [...this.objects.values()].filter(({ name }) => !this._retained?.has(name));
    const hidden = this.retained.flatMap(({ object }) => this._retained?.storedInsteadOf(object.name) ?? []);
    return [...inForce, ...hidden];
  }

  /** Uses objects that may be some seconds old until there is a copy. */
  applyProvisional(objects: readonly StoredObject[]): void {
    if (this._revision > 0) return;
    for (const object of objects) this.objects.set(object.name, object);
    this.emit('change', { cause: 'store', whole: true, changes: [] });
  }

  /** Replaces the copy, unless the listing is older. */
  applyListing(listing: KindListing): void {
    const { revision } = listing;
    if (revision < this._revision) return;
    const isFirst = this._revision === 0;
    const isRollback = !isFirst && !this._isOfThisGeneration(revision);
    const urgency = this._replace(listing, isRollback);
    this._revision = revision;
    const cause = isRollback ? 'rollback' : 'store';
    if (urgency !== 'none' || isFirst || isRollback) this.emit('change', { cause, whole: true, changes: [] });
    if (isFirst || isRollback) this._adoptEarly();
  }

  /** Applies the changes up to `revision` if that is in the generation of the copy; returns their highest urgency. */
  applyChanges(revision: number, changes: readonly ObjectChange[]): ChangeUrgency {
    if (revision <= this._revision || !this._isOfThisGeneration(revision)) return 'none';
    const newer = changes.filter((change) => this._isNewer(change));
    const urgency = this._apply(newer, 'change');
    this._revision = revision;
    if (urgency !== 'none') this.emit('change', { cause: 'store', whole: false, changes: newer });
    return urgency;
  }

  /** Adopts the retained records of another entry whose copy is complete up to `revision`. */
  adoptRetained(revision: number, records: readonly RetainedRecord[]): void {
    const isBeforeCopy = this._revision === 0 || generationOf(revision) > generationOf(this._revision);
    if (isBeforeCopy) this._early = [...this._early, { revision, records }].slice(-MAX_EARLY_MESSAGES);
    if (isBeforeCopy || !this._isOfThisGeneration(revision)) return;
    const adopted = records.filter((record) =>
      this._retained?.adopt(record, this._storedOf(record.object.name)),
    );
    if (adopted.length > 0) this._putInForce(adopted.map(({ object, gone }) => ({ object, gone })));
  }

  /** Releases retained records that have expired ({@link RetainedRecords.releaseExpired}). */
  releaseRetained(regainedAt: number, confirmedAt: number): void {
    if (!this._retained || this._retained.size === 0) return;
    const released = this._retained.releaseExpired(regainedAt, confirmedAt);
    const changes = [...released].flatMap(([name, stored]) => {
      const object = stored ?? this.objects.get(name);
      return object ? [{ object, gone: !stored }] : [];
    });
    if (changes.length > 0) this._putInForce(changes);
  }

  /**
   * Records that the copy is complete up to `revision`, and that its source's newest change is `newestChange`.
   * Changes classified as `none` count too, although sources do not send them.
   */
  advanceRevision(revision: number, newestChange: number): void {
    if (!this._isOfThisGeneration(revision)) return;
    this._revision = Math.max(this._revision, revision);
    this._newestChange = Math.max(this._newestChange, newestChange);
  }

  private _replace({ revision, objects }: KindListing, isRollback: boolean): ChangeUrgency {
    const stored = new Map(objects.map((object) => [object.name, object]));
    const retained = this.retained.map(({ object }) => object);
    const known = new Map([...retained, ...this.objects.values()].map((object) => [object.name, object]));
    const gone = [...known.values()].filter(({ name }) => !stored.has(name));
    if (isRollback) this._retained?.onRollback(this.objects, stored, revision);
    else if (this._revision > 0) this._rememberDeletions(gone);
    return this._apply([
      ...objects.map((object) => ({ object, gone: false })),
      ...gone.map((object) => ({ object, gone: true })),
    ]);
  }

  private _adoptEarly(): void {
    const early = this._early;
    this._early = [];
    for (const { revision, records } of early) this.adoptRetained(revision, records);
  }

  private _isOfThisGeneration(revision: number): boolean {
    return generationOf(revision) === generationOf(this._revision);
  }

  private _storedOf(name: string): StoredObject | undefined {
    return this._retained?.has(name) ? this._retained.storedInsteadOf(name) : this.objects.get(name);
  }

  /** Whether the copy lacks a change. A deletion may have the revision of the change before it. */
  private _isNewer({ object, gone }: ObjectChange): boolean {
    if (!gone) return object.revision > this._revision;
    return object.revision >= (this._storedOf(object.name)?.revision ?? 0);
  }

  /**
   * Remembers the deletion of an object. The pages of a listing are read one after the other, so that it may lack an
   * object before its deletion is watched. Its last state is then known from before, while the event has none.
   */
  private _rememberDeletion(object: StoredObject): void {
    const known = this.objects.get(object.name);
    if (known || !this._retained?.isDeleted(object.name))
      this._retained?.rememberDeletion(known ?? object, 'change');
  }

  /** Remembers as deleted the objects that are missing from a listing, unless the store lacked them before. */
  private _rememberDeletions(objects: readonly StoredObject[]): void {
    const deleted = objects.filter(({ name }) => this._storedOf(name));
    for (const object of deleted) this._retained?.rememberDeletion(object, 'listing');
  }

  /** Applies changes of the store. A retained record stays in force until it is released. */
  private _apply(changes: readonly ObjectChange[], via: ObservedVia = 'listing'): ChangeUrgency {
    let urgency: ChangeUrgency = 'none';
    for (const { object, gone } of changes) {
      const { name, revision } = object;
      this._newestChange = Math.max(this._newestChange, revision);
      if (gone && via === 'change') this._rememberDeletion(object);
      const wasRetained = this._retained?.has(name) ?? false;
      const storedBefore = this._storedOf(name);
      const stored = gone ? undefined : object;
      const inForce = this._retained ? this._retained.resolve(name, stored, via) : stored;
      urgency = moreUrgent(urgency, this._setInForce(name, inForce));
      // Listeners retain and release records by themselves, so they need the changes that a retained record hides.
      if (wasRetained) urgency = moreUrgent(urgency, this._classify(storedBefore, stored));
    }
    return urgency;
  }

  private _putInForce(changes: readonly ObjectChange[]): void {
    const urgencies = changes.map(({ object, gone }) =>
      this._setInForce(object.name, gone ? undefined : object),
    );
    const isUsed = urgencies.some((urgency) => urgency !== 'none');
    if (isUsed) this.emit('change', { cause: 'retained', whole: false, changes: [] });
  }

  private _setInForce(name: string, object: StoredObject | undefined): ChangeUrgency {
    const urgency = this._classify(this.objects.get(name), object);
    if (!object) this.objects.delete(name);
    else {
      this.objects.set(name, object);
      this._retained?.forgetDeletion(name);
    }
    return urgency;
  }
}

function moreUrgent(a: ChangeUrgency, b: ChangeUrgency): ChangeUrgency {
  const order: readonly ChangeUrgency[] = ['none', 'minor', 'urgent'];
  return order.indexOf(a) >= order.indexOf(b) ? a : b;
}
