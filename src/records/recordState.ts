/** This process's copies of the store's records, and until when they are known to have been the newest. */
import type { RecordStamp, RecordsRetained } from '../protocol/recordMessages.js';
import type { Clock } from '../utils/clock.js';
import type { RecordReplica } from './recordReplica.js';
import { fromWireObject, toWireObject } from './wireObject.js';

/** How current copies are; monotonic milliseconds, -infinity for never. */
export interface Freshness {
  confirmedAt: number;
  regainedAt: number;
}

export class RecordState {
  readonly replicas: readonly RecordReplica[];
  private readonly _clock: Clock;
  private readonly _ownFreshness: () => Freshness;
  private _confirmedAt = Number.NEGATIVE_INFINITY;
  private _regainedAt = Number.NEGATIVE_INFINITY;
  private _lostAt = Number.NEGATIVE_INFINITY;

  /** `ownReading` tells how current the copies are if this process reads the store itself. */
  constructor(replicas: readonly RecordReplica[], clock: Clock, ownFreshness: () => Freshness) {
    this.replicas = replicas;
    this._clock = clock;
    this._ownFreshness = ownFreshness;
  }

  /** Milliseconds for which the copies have not been confirmed to be the newest; infinite when they never were. */
  get unconfirmedFor(): number {
    return this._clock.now() - this.confirmedAt;
  }

  /** Monotonic milliseconds at which the copies were last confirmed; -infinity when they never were. */
  get confirmedAt(): number {
    this.confirm(this._ownFreshness());
    return this._confirmedAt;
  }

  /** Milliseconds since the store was regained after an outage; infinite when it never was lost. */
  get regainedFor(): number {
    this.confirm(this._ownFreshness());
    return this._clock.now() - this._regainedAt;
  }

  get revisions(): Record<string, number> {
    return Object.fromEntries(this.replicas.map(({ kind, revision }) => [kind, revision]));
  }

  /** Releases retained records whose time is over. */
  releaseRetained(): void {
    const { confirmedAt } = this;
    for (const replica of this.replicas) replica.releaseRetained(this._regainedAt, confirmedAt);
  }

  replica(kind: string): RecordReplica | undefined {
    return this.replicas.find((candidate) => candidate.kind === kind);
  }

  /** Notes how current the copies are; they never become older than they were known to be. */
  confirm({ confirmedAt, regainedAt }: Freshness): void {
    this._confirmedAt = Math.max(this._confirmedAt, confirmedAt);
    this._regainedAt = Math.max(this._regainedAt, regainedAt);
  }

  /** The same by the stamp of an entry whose changes have all been taken. */
  confirmByStamp(stamp: RecordStamp): void {
    this.confirm(freshnessOf(stamp, this._clock.now()));
    for (const [kind, revision] of Object.entries(stamp.revisions)) {
      this.replica(kind)?.advanceRevision(revision, stamp.newestChanges[kind] ?? 0);
    }
  }

  /** Notes that the store has been lost: until something confirms the copies anew, others should not wait for them. */
  noteLost(): void {
    this._lostAt = this._clock.now();
  }

  /** The retained records of a kind, as a message. */
  retainedMessage({ kind, revision, retained }: RecordReplica): RecordsRetained {
    const now = this._clock.now();
    const records = retained.map(({ object, gone, since }) => ({
      object: toWireObject(object),
      gone,
      retainedMilliseconds: Math.max(0, now - since),
    }));
    return { type: 'records-retained', kind, revision, records };
  }

  /** Takes over records that another entry retains. */
  adoptRetained({ kind, revision, records }: RecordsRetained): void {
    const now = this._clock.now();
    const retained = records.map(({ object, gone, retainedMilliseconds }) => ({
      object: fromWireObject(object),
      gone,
      since: now - retainedMilliseconds,
    }));
    this.replica(kind)?.adoptRetained(revision, retained);
  }

  /** `withChanges` says that the receiver has been sent all changes. */
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

/** The freshness that a stamp tells which came at `now`. */
export function freshnessOf(stamp: RecordStamp, now: number): Freshness {
  return {
    confirmedAt: now - (stamp.confirmedMilliseconds ?? Number.POSITIVE_INFINITY),
    regainedAt: now - (stamp.regainedMilliseconds ?? Number.POSITIVE_INFINITY),
  };
}

function finiteOrNull(milliseconds: number): number | null {
  return Number.isFinite(milliseconds) ? Math.max(0, milliseconds) : null;
}
