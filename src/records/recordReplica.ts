/** This process's copy of all objects of one kind, whoever brings it: only ever a newer one. */
import { EventEmitter } from 'node:events';
import type { KindListing, ObjectChange, StoredObject } from './watchableStore.js';

/** How much a change matters: `minor` may wait for others, `none` changes nothing that is used. */
export type ChangeWeight = 'none' | 'minor' | 'urgent';

/** Weighs a change of one object; undefined stands for an object that is not there. */
export type WeighChange = (before: StoredObject | undefined, after: StoredObject | undefined) => ChangeWeight;

/** What has changed in a copy; `whole` when it was replaced. */
export interface ReplicaChange {
  whole: boolean;
  changes: readonly ObjectChange[];
}

interface RecordReplicaEvents {
  change: [ReplicaChange];
}

/** Emits `change` when something has changed that is used. */
export class RecordReplica extends EventEmitter<RecordReplicaEvents> {
  readonly kind: string;
  readonly objects = new Map<string, StoredObject>();
  private readonly _weigh: WeighChange;
  private _revision = 0;
  private _newestChange = 0;

  constructor(kind: string, weigh: WeighChange = () => 'urgent') {
    super();
    this.kind = kind;
    this._weigh = weigh;
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

  /** Replaces the copy, unless the listing is older than it. */
  takeListing({ revision, objects }: KindListing): void {
    if (revision < this._revision) return;
    const isFirst = this._revision === 0;
    const names = new Set(objects.map(({ name }) => name));
    const gone = [...this.objects.values()].filter(({ name }) => !names.has(name));
    const weight = this._apply([
      ...objects.map((object) => ({ object, gone: false })),
      ...gone.map((object) => ({ object, gone: true })),
    ]);
    this._revision = revision;
    if (weight !== 'none' || isFirst) this.emit('change', { whole: true, changes: [] });
  }

  /** Takes what has changed up to `revision`; returns how much that matters. */
  takeChanges(revision: number, changes: readonly ObjectChange[]): ChangeWeight {
    if (revision <= this._revision) return 'none';
    const newer = changes.filter((change) => this._isNewer(change));
    const weight = this._apply(newer);
    this._revision = revision;
    if (weight !== 'none') this.emit('change', { whole: false, changes: newer });
    return weight;
  }

  /** Notes that the copy is as the store had it at `revision`, with what is used of its changes up to `newestChange`. */
  noteRevision(revision: number, newestChange: number): void {
    this._revision = Math.max(this._revision, revision);
    this._newestChange = Math.max(this._newestChange, newestChange);
  }

  /** Whether a change is not in the copy yet. Deletions may carry the revision of the change before. */
  private _isNewer({ object, gone }: ObjectChange): boolean {
    if (!gone) return object.revision > this._revision;
    return object.revision >= (this.objects.get(object.name)?.revision ?? 0);
  }

  private _apply(changes: readonly ObjectChange[]): ChangeWeight {
    let weight: ChangeWeight = 'none';
    for (const { object, gone } of changes) {
      this._newestChange = Math.max(this._newestChange, object.revision);
      weight = heavier(weight, this._weigh(this.objects.get(object.name), gone ? undefined : object));
      if (gone) this.objects.delete(object.name);
      else this.objects.set(object.name, object);
    }
    return weight;
  }
}

function heavier(a: ChangeWeight, b: ChangeWeight): ChangeWeight {
  const order: readonly ChangeWeight[] = ['none', 'minor', 'urgent'];
  return order.indexOf(a) >= order.indexOf(b) ? a : b;
}
