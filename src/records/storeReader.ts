/** Keeps copies by the store itself, and knows until when they were the newest. One of the few entries that do so. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { KindFollower } from './kindFollower.js';
import { StoreProbe } from './storeProbe.js';
import type { WatchableStore } from './watchableStore.js';

/** What a reader works with. */
export interface StoreReaderOptions {
  followers: readonly KindFollower[];
  store: WatchableStore;
  clock: Clock;
  log: EventLog;
}

/** Reads when started. While the store is silent it is only probed: each call has its price, answered or not. */
export class StoreReader {
  private readonly _options: StoreReaderOptions;
  private readonly _probe: StoreProbe;
  private _reading = false;

  constructor(options: StoreReaderOptions) {
    const { store, clock, log } = options;
    this._options = options;
    this._probe = new StoreProbe({ store, clock, log });
    this._probe.on('answered', () => this._onAnswer());
    this._probe.on('lost', () => this._stopFollowers());
    this._probe.on('rollback', () => this.refresh());
  }

  get isReading(): boolean {
    return this._reading;
  }

  /** Whether it reads, and the store does not answer. */
  get isLost(): boolean {
    return this._reading && this._probe.isLost;
  }

  /** Monotonic milliseconds at which the store last confirmed the copies; -infinity when it has not since the start. */
  get confirmedAt(): number {
    const isFollowing = this._options.followers.every((follower) => follower.reachable);
    return this._reading && isFollowing ? this._probe.answeredAt : Number.NEGATIVE_INFINITY;
  }

  /** Monotonic milliseconds at which the store was regained; -infinity when it never was lost. */
  get regainedAt(): number {
    return this._probe.regainedAt;
  }

  start(): void {
    if (this._reading) return;
    this._reading = true;
    this._options.log.state('store.reading-begun');
    this._probe.start();
  }

  stop(): void {
    if (!this._reading) return;
    this._reading = false;
    this._options.log.state('store.reading-ended');
    this._probe.stop();
    this._stopFollowers();
  }

  /** Lists all kinds anew: another entry has newer copies, or the store was rolled back. */
  refresh(): void {
    for (const follower of this._options.followers) follower.refresh();
  }

  private _onAnswer(): void {
    if (!this._reading) return;
    for (const follower of this._options.followers) follower.start();
  }

  /** What was asked of a store that has been lost may never be answered. */
  private _stopFollowers(): void {
    for (const follower of this._options.followers) follower.stop();
  }
}
