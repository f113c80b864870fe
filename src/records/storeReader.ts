/**
 * Keeps copies up to date from the store itself, and tracks when the store last confirmed that they are the newest.
 * Only a few entries read the store.
 */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { KindFollower } from './kindFollower.js';
import { StoreProbe } from './storeProbe.js';
import type { WatchableStore } from './watchableStore.js';

export interface StoreReaderOptions {
  followers: readonly KindFollower[];
  store: WatchableStore;
  clock: Clock;
  log: EventLog;
}

/** While the store does not answer, it is only probed, because each call has a cost, answered or not. */
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

  /** Whether this process reads the store, and the store does not answer. */
  get isLost(): boolean {
    return this._reading && this._probe.isLost;
  }

  /** Monotonic milliseconds at which the store last confirmed the copies; -infinity if it cannot confirm them now. */
  get confirmedAt(): number {
    const isFollowing = this._options.followers.every((follower) => follower.reachable);
    return this._reading && isFollowing ? this._probe.answeredAt : Number.NEGATIVE_INFINITY;
  }

  /** Monotonic milliseconds at which the store was last regained; -infinity if it never was lost. */
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

  /** Lists all kinds again, because another entry has newer copies, or because the store was rolled back. */
  refresh(): void {
    for (const follower of this._options.followers) follower.refresh();
  }

  private _onAnswer(): void {
    if (!this._reading) return;
    for (const follower of this._options.followers) follower.start();
  }

  /** Aborts pending calls, because a store that was lost may never answer them. */
  private _stopFollowers(): void {
    for (const follower of this._options.followers) follower.stop();
  }
}
