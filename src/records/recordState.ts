/** This process's copies of the store's records, and when they were last confirmed to be the newest. */
import type { RecordStamp, RecordsRetained } from '../protocol/recordMessages.js';
import type { Clock } from '../utils/clock.js';
import type { RecordReplica } from './recordReplica.js';
import { fromWireObject, toWireObject } from './wireObject.js';

/** How current copies are, in monotonic milliseconds; -infinity for never. */
export interface Freshness {
  /** When the copies were last confirmed to be the newest. */
  confirmedAt: number;
  /** When the store was last regained after an outage. */
  regainedAt: number;
}

export class RecordState {
  readonly replicas: readonly RecordReplica[];
  private readonly _clock: Clock;
  private readonly _ownFreshness: () => Freshness;
  private _confirmedAt = Number.NEGATIVE_INFINITY;
  private _regainedAt = Number.NEGATIVE_INFINITY;
  private _lostAt = Number.NEGATIVE_INFINITY;
  private _notProvided: readonly string[] = [];

  /** `ownFreshness` returns how current the copies are if this process reads the store itself. */
  constructor(replicas: readonly RecordReplica[], clock: Clock, ownFreshness: () => Freshness) {
    this.replicas = replicas;
    this._clock = clock;
    this._ownFreshness = ownFreshness;
  }

  /** Milliseconds since the copies were last confirmed to be the newest; infinite if they never were. */
  get unconfirmedFor(): number {
    return this._clock.now() - this.confirmedAt;
  }

  /** Monotonic milliseconds at which the copies were last confirmed; -infinity if they never were. */
  get confirmedAt(): number {
    this.confirm(this._ownFreshness());
    return this._confirmedAt;
  }

  /** Milliseconds since the store was regained after an outage; infinite if it never was lost. */
  get regainedFor(): number {
    this.confirm(this._ownFreshness());
    return this._clock.now() - this._regainedAt;
  }

  get revisions(): Record<string, number> {
    return Object.fromEntries(this.replicas.map(({ kind, revision }) => [kind, revision]));
  }

  /** Releases retained records that have expired. */
  releaseRetained(): void {
    const { confirmedAt } = this;
    for (const replica of this.replicas) replica.releaseRetained(this._regainedAt, confirmedAt);
  }

  replica(kind: string): RecordReplica | undefined {
    return this.replicas.find((candidate) => candidate.kind === kind);
  }

  /** Updates how current the copies are; the times never go back. */
  confirm({ confirmedAt, regainedAt }: Freshness): void {
    this._confirmedAt = Math.max(this._confirmedAt, confirmedAt);
    this._regainedAt = Math.max(this._regainedAt, regainedAt);
  }

  /** Whether there is no copy of a kind because the source of the copies does not provide it, as in an older build. */
  isNotProvided(kind: string): boolean {
    return this.replica(kind)?.revision === 0 && this._notProvided.includes(kind);
  }

  /**
   * Updates how current the copies are by the stamp of a source whose changes have all been applied. Returns the kinds
   * that the source does not provide.
   */
  confirmByStamp(stamp: RecordStamp): readonly string[] {
    this.confirm(freshnessOf(stamp, this._clock.now()));
    for (const [kind, revision] of Object.entries(stamp.revisions)) {
      this.replica(kind)?.advanceRevision(revision, stamp.newestChanges[kind] ?? 0);
    }
    this._notProvided = this.replicas.map(({ kind }) => kind).filter((kind) => !(kind in stamp.revisions));
    return this._notProvided;
  }

  /**
   * Records that the store was lost. Stamps say so until the copies are confirmed again, so that listeners change
   * their source at once.
   */
  noteLost(): void {
    this._lostAt = this._clock.now();
  }

  /** Returns the retained records of a kind as a message. */
  retainedMessage({ kind, revision, retained }: RecordReplica): RecordsRetained {
    const now = this._clock.now();
    const records = retained.map(({ object, gone, since }) => ({
      object: toWireObject(object),
      gone,
      retainedMilliseconds: Math.max(0, now - since),
    }));
    return { type: 'records-retained', kind, revision, records };
  }

  /** Adopts records that another entry retains. */
  adoptRetained({ kind, revision, records }: RecordsRetained): void {
    const now = this._clock.now();
    const retained = records.map(({ object, gone, retainedMilliseconds }) => ({
      object: fromWireObject(object),
      gone,
      since: now - retainedMilliseconds,
    }));
    this.replica(kind)?.adoptRetained(revision, retained);
  }

  /** Returns a message that tells how current the copies are. `withChanges`: its receivers have been sent all changes. */
  stamp(withChanges: boolean): RecordStamp {
    return {
      type: 'record-stamp',
      withChanges,
      confirmedMilliseconds: finiteOrNull(this.unconfirmedFor),
      regainedMilliseconds: finiteOrNull(this.regainedFor),
      lost: this._lostAt > this._confirmedAt,
      revisions: this.revisions,
      newestChanges: Object.fromEntries(this.replicas.map(({ kind, newestChange }) => [kind, newestChange])),
      retained: Object.fromEntries(this.replicas.map(({ kind, retained }) => [kind, retained.length])),
    };
  }
}

/** Returns the freshness in a stamp that arrived at `now`. */
export function freshnessOf(stamp: RecordStamp, now: number): Freshness {
  return {
    confirmedAt: now - (stamp.confirmedMilliseconds ?? Number.POSITIVE_INFINITY),
    regainedAt: now - (stamp.regainedMilliseconds ?? Number.POSITIVE_INFINITY),
  };
}

function finiteOrNull(milliseconds: number): number | null {
  return Number.isFinite(milliseconds) ? Math.max(0, milliseconds) : null;
}
