/** This entry's copies of the suspicions in the store: by its own writes, which it knows at once, and by its replica. */
import { EventEmitter } from 'node:events';
import { LRUCache } from 'lru-cache';
import type { RecordReplica } from '../records/recordReplica.js';
import type { UnreadableRecords } from '../records/unreadableRecords.js';
import type { StoredObject } from '../records/watchableStore.js';
import type { Clock } from '../utils/clock.js';
import type { Suspicion } from './suspicion.js';
import { readSuspicion } from './suspicion.js';

/** A suspicion as the store has it; undefined where it has been removed. */
export interface StoredSuspicion {
  suspicion: Suspicion | undefined;
  /** 0 when the store never had one. */
  revision: number;
  /** Monotonic milliseconds at which this entry saw this revision first. */
  seenAt: number;
}

interface SuspicionCopiesEvents {
  /** The suspicion of a request has changed: its fingerprint, and how many ends it had before. */
  change: [string, number];
  /** The store was rolled back; what was known before. The copies are replaced right after. */
  rollback: [KnownSuspicions];
}

/** What was known before the store was rolled back, by fingerprint. */
export interface KnownSuspicions {
  suspected: ReadonlyMap<string, Suspicion>;
  /** Those that had been removed, as they were last. */
  cleared: ReadonlyMap<string, Suspicion>;
}

/** Suspicions whose removal is remembered. */
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

  /** All that are known, by their fingerprints. */
  all(): readonly (readonly [string, StoredSuspicion])[] {
    return [...this._stored];
  }

  get(fingerprint: string): StoredSuspicion {
    return this._stored.get(fingerprint) ?? { suspicion: undefined, revision: 0, seenAt: this._clock.now() };
  }

  /** Takes what the store holds as of `revision`, by the answer to a write; returns whether it is newer. */
  update(fingerprint: string, revision: number, suspicion: Suspicion | undefined): boolean {
    const known = this._stored.get(fingerprint);
    if (known && known.revision >= revision) return false;
    this._trackCleared(fingerprint, suspicion);
    this._stored.set(fingerprint, { suspicion, revision, seenAt: this._clock.now() });
    this.emit('change', fingerprint, known?.suspicion?.ends.length ?? 0);
    return true;
  }

  /** The same where a write found another object, or none. */
  updateFromObject(fingerprint: string, object: StoredObject | undefined): boolean {
    if (object) return this.update(fingerprint, object.revision, this._read(object));
    this._trackCleared(fingerprint, undefined);
    const isNewer = this._stored.delete(fingerprint);
    this.emit('change', fingerprint, 0);
    return isNewer;
  }

  /** Takes an object as what the store holds, even if it is older than the copy. */
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
    return this._unreadable.valueOf(this._replica.kind, object, readSuspicion(object.value));
  }
}
