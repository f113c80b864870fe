/**
 * This entry's copies of the suspicions in the store, updated by its own writes at once and otherwise by its replica.
 */
import { EventEmitter } from 'node:events';
import { LRUCache } from 'lru-cache';
import type { RecordReplica } from '../records/recordReplica.js';
import type { UnreadableRecords } from '../records/unreadableRecords.js';
import type { StoredObject } from '../records/watchableStore.js';
import type { Clock } from '../utils/clock.js';
import type { Suspicion } from './suspicion.js';
import { readSuspicion } from './suspicion.js';

/** A suspicion as the store holds it. */
export interface StoredSuspicion {
  /** Undefined if it was removed. */
  suspicion: Suspicion | undefined;
  /** 0 if the store never had one. */
  revision: number;
  /** Monotonic milliseconds at which this entry first saw this revision. */
  seenAt: number;
}

interface SuspicionCopiesEvents {
  /**
   * The suspicion of a request has changed. Passes its fingerprint, and the former suspicion.
   */
  change: [string, Suspicion | undefined];
  /** The store was rolled back. Passes the copies of before; they are replaced right after the event. */
  rollback: [KnownSuspicions];
}

/** Suspicions that were known before a rollback of the store, by fingerprint. */
export interface KnownSuspicions {
  suspected: ReadonlyMap<string, Suspicion>;
  /** Last states of removed suspicions. */
  cleared: ReadonlyMap<string, Suspicion>;
}

/** Number of removed suspicions that are remembered. */
const MAX_CLEARED = 1_000;

export class SuspicionCopies extends EventEmitter<SuspicionCopiesEvents> {
  private readonly _replica: RecordReplica;
  private readonly _unreadable: UnreadableRecords;
  private readonly _clock: Clock;
  private readonly _stored = new Map<string, StoredSuspicion>();
  private readonly _cleared = new LRUCache<string, Suspicion>({ max: MAX_CLEARED });

  constructor(replica: RecordReplica, unreadable: UnreadableRecords, clock: Clock) {
    super();
    this._replica = replica;
    this._unreadable = unreadable;
    this._clock = clock;
    replica.on('change', ({ cause }) => {
      if (cause === 'rollback') this.emit('rollback', this._known());
      this._applyReplica();
    });
  }

  get size(): number {
    return this._stored.size;
  }

  /** All copies with their fingerprints. */
  all(): readonly (readonly [string, StoredSuspicion])[] {
    return [...this._stored];
  }

  get(fingerprint: string): StoredSuspicion {
    return this._stored.get(fingerprint) ?? { suspicion: undefined, revision: 0, seenAt: this._clock.now() };
  }

  /** Updates a copy by the answer to a write; returns whether `revision` is newer than the copy. */
  update(fingerprint: string, revision: number, suspicion: Suspicion | undefined): boolean {
    const known = this._stored.get(fingerprint);
    if (known && known.revision >= revision) return false;
    this._trackCleared(fingerprint, suspicion);
    this._stored.set(fingerprint, { suspicion, revision, seenAt: this._clock.now() });
    this.emit('change', fingerprint, known?.suspicion);
    return true;
  }

  /**
   * Updates a copy by the object in the store, undefined if there is none; returns whether that is newer than the
   * copy.
   */
  updateFromObject(fingerprint: string, object: StoredObject | undefined): boolean {
    if (object) return this.update(fingerprint, object.revision, this._read(object));
    this._trackCleared(fingerprint, undefined);
    const former = this._stored.get(fingerprint)?.suspicion;
    const isNewer = this._stored.delete(fingerprint);
    this.emit('change', fingerprint, former);
    return isNewer;
  }

  /** Replaces a copy by the object in the store, even if that is older. */
  replace(fingerprint: string, object: StoredObject): void {
    this._stored.delete(fingerprint);
    this.updateFromObject(fingerprint, object);
  }

  private _trackCleared(fingerprint: string, suspicion: Suspicion | undefined): void {
    const former = this._stored.get(fingerprint)?.suspicion;
    if (suspicion) this._cleared.delete(fingerprint);
    else if (former) this._cleared.set(fingerprint, former);
  }

  private _known(): KnownSuspicions {
    const suspected = [...this._stored].flatMap(([fingerprint, { suspicion }]) =>
      suspicion ? [[fingerprint, suspicion] as const] : [],
    );
    return { suspected: new Map(suspected), cleared: new Map(this._cleared.entries()) };
  }

  private _applyReplica(): void {
    for (const object of this._replica.objects.values()) {
      const known = this._stored.get(object.name);
      if (!known || known.revision < object.revision) this.updateFromObject(object.name, object);
    }
    for (const [fingerprint, { revision }] of this._stored) {
      const isGone = !this._replica.objects.has(fingerprint) && revision <= this._replica.revision;
      if (isGone) this.updateFromObject(fingerprint, undefined);
    }
  }

  private _read(object: StoredObject): Suspicion | undefined {
    return this._unreadable.unwrapOrReport(this._replica.kind, object, readSuspicion(object.value));
  }
}
