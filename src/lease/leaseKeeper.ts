/** Acquires, renews and releases the lease of one configuration for this entry. */
import { randomUUID } from 'node:crypto';
import { createActor } from 'xstate';
import type { Replica } from '../configuration/replica.js';
import type { ConditionalWriteOutcome, ConditionalWriter } from '../configuration/conditionalWriter.js';
import type { Logger } from '../telemetry/logger.js';
import type { Clock } from '../utils/clock.js';
import { leaseMachine } from './leaseMachine.js';
import type { LeaseEvent } from './leaseMachine.js';
import { leaseRecordSchema } from './leaseRecord.js';
import type { LeaseRecord } from './leaseRecord.js';

/** Options of a {@link LeaseKeeper}. */
export interface LeaseKeeperOptions {
  key: string;
  /** Box and incarnation of this entry. */
  holder: string;
  lifetimeMilliseconds: number;
  replica: Replica;
  writer: ConditionalWriter;
  clock: Clock;
  logger: Logger;
}

/** Fraction of the lifetime after which a held lease is renewed. */
const RENEWAL_FRACTION = 1 / 3;

/**
 * Each process measures expiry on its own monotonic clock. Other entries regard the lease as free when its object
 * has not changed for one lifetime; the holder regards it as held for one lifetime after it *sent* the last renewal.
 * In addition, every order carries the epoch, and agents refuse an order with a lower epoch than they have seen. So
 * if a holder was paused until after its lease expired, agents that have had an order of the next holder refuse its
 * orders, whatever its clock shows.
 */
export class LeaseKeeper {
  private readonly _options: LeaseKeeperOptions;
  private readonly _machine = createActor(leaseMachine).start();
  private _lastSeen: { revision: string; at: number } | undefined;
  private _held: { record: LeaseRecord; revision: number; sentAt: number } | undefined;
  /** The call of {@link LeaseKeeper.tick} in progress. */
  private _ticking: Promise<void> | undefined;
  private _isClosed = false;

  constructor(options: LeaseKeeperOptions) {
    this._options = options;
  }

  /** The epoch for orders that are sent now; undefined when this entry does not hold the lease. */
  get epoch(): number | undefined {
    if (!this._held || this._machine.getSnapshot().value !== 'holding') return undefined;
    if (this._options.clock.now() >= this._held.sentAt + this._options.lifetimeMilliseconds) {
      this._end('LAPSED');
      return undefined;
    }
    return this._held.record.epoch;
  }

  /**
   * Renews a held lease when a renewal is due, or acquires a free one. `rank` is the position of this entry among the
   * candidates, from 0; entries of a later rank wait longer before they acquire the lease.
   */
  async tick(rank: number): Promise<void> {
    if (this._isClosed || this._ticking) return;
    this._ticking = this._tick(rank);
    try {
      await this._ticking;
    } finally {
      this._ticking = undefined;
    }
  }

  /** Releases the lease for good: it is not acquired again. */
  async close(): Promise<void> {
    this._isClosed = true;
    await this.release();
  }

  /** Releases the lease, so that another entry can acquire it before it expires. */
  async release(): Promise<void> {
    // A write in flight may still acquire the lease, or change the revision that the release has to name.
    await this._ticking?.catch(() => undefined);
    const held = this._held;
    if (!held || this.epoch === undefined) return;
    this._end('RELEASED');
    await this._put({ ...held.record, released: true }, held.revision);
  }

  private async _tick(rank: number): Promise<void> {
    if (this.epoch !== undefined) await this._renewWhenDue();
    else if (this._isFree(rank)) await this._acquire();
  }

  /** Whether this entry may acquire the lease. It waits longer at a later rank, so that usually one entry writes. */
  private _isFree(rank: number): boolean {
    const { replica, key, clock, lifetimeMilliseconds } = this._options;
    const record = this._currentRecord();
    const revision = `${replica.record(key)?.revision ?? 0}`;
    if (this._lastSeen?.revision !== revision) this._lastSeen = { revision, at: clock.now() };
    const unchangedFor = clock.now() - this._lastSeen.at;
    const rankDelay = (rank * lifetimeMilliseconds) / 4;
    if (!record || record.released) return unchangedFor >= rankDelay;
    return unchangedFor >= lifetimeMilliseconds + rankDelay;
  }

  private _currentRecord(): LeaseRecord | undefined {
    const parsed = leaseRecordSchema.safeParse(this._options.replica.value(this._options.key));
    return parsed.success ? parsed.data : undefined;
  }

  private async _acquire(): Promise<void> {
    this._machine.send({ type: 'ACQUIRE' });
    const epoch = (this._currentRecord()?.epoch ?? 0) + 1;
    const sentAt = this._options.clock.now();
    const record = { holder: this._options.holder, epoch, renewal: 0, released: false };
    const outcome = await this._put(record, this._options.replica.liveRevision(this._options.key));
    this._applyOutcome(outcome, sentAt, 'ACQUIRED');
  }

  private async _renewWhenDue(): Promise<void> {
    const held = this._held!;
    const sentAt = this._options.clock.now();
    if (sentAt < held.sentAt + this._options.lifetimeMilliseconds * RENEWAL_FRACTION) return;
    const outcome = await this._put({ ...held.record, renewal: held.record.renewal + 1 }, held.revision);
    if (outcome.kind === 'refused' || outcome.kind === 'unresolved') return;
    this._applyOutcome(outcome, sentAt, undefined);
  }

  private async _put(
    record: Omit<LeaseRecord, 'changeId'>,
    revision: number,
  ): Promise<ConditionalWriteOutcome> {
    return await this._options.writer.put(this._options.key, { ...record, changeId: randomUUID() }, revision);
  }

  private _applyOutcome(
    outcome: ConditionalWriteOutcome,
    sentAt: number,
    event: 'ACQUIRED' | undefined,
  ): void {
    if (outcome.kind !== 'written') {
      this._end('LOST');
      return;
    }
    const record = leaseRecordSchema.parse(outcome.record.value);
    this._held = { record, revision: outcome.record.revision, sentAt };
    if (!event) return;
    this._machine.send({ type: event });
    this._options.logger.state('lease.acquired', { lease: this._options.key, epoch: record.epoch });
  }

  private _end(event: Exclude<LeaseEvent['type'], 'ACQUIRE' | 'ACQUIRED'>): void {
    const epoch = this._held?.record.epoch;
    this._held = undefined;
    this._machine.send({ type: event });
    if (epoch !== undefined) {
      this._options.logger.state(`lease.${event.toLowerCase()}`, { lease: this._options.key, epoch });
    }
  }
}
