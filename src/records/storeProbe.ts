/** Probes the store at intervals, because a pending watch cannot tell an idle store from a lost one. */
import { EventEmitter } from 'node:events';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import type { WatchableStore } from './watchableStore.js';

export interface StoreProbeOptions {
  store: WatchableStore;
  clock: Clock;
  log: EventLog;
}

interface StoreProbeEvents {
  answered: [];
  /** A probe has failed. Pending watches may hang, even after the store answers again. */
  lost: [];
  /** The store was rolled back. Pending watches may miss changes. */
  rollback: [];
}

/**
 * Together with the timeout, this bounds the time until listeners of this process learn that it has lost the store.
 */
const INTERVAL_MILLISECONDS = 500;
const LOST_INTERVAL_MILLISECONDS = 250;
const TIMEOUT_MILLISECONDS = 600;

export class StoreProbe extends EventEmitter<StoreProbeEvents> {
  private readonly _options: StoreProbeOptions;
  private _stopped = new AbortController();
  private _isLost = false;
  private _answeredAt = Number.NEGATIVE_INFINITY;
  private _regainedAt = Number.NEGATIVE_INFINITY;
  /** Generation in the last answer; undefined before the first one. */
  private _generation: number | undefined;

  constructor(options: StoreProbeOptions) {
    super();
    this._options = options;
  }

  /** Monotonic milliseconds at which the last answered probe was sent; -infinity while the store is lost. */
  get answeredAt(): number {
    return this._isLost ? Number.NEGATIVE_INFINITY : this._answeredAt;
  }

  /** Whether the last probe failed. */
  get isLost(): boolean {
    return this._isLost;
  }

  /** Monotonic milliseconds at which the store was last regained; -infinity if it never was lost. */
  get regainedAt(): number {
    return this._regainedAt;
  }

  start(): void {
    this._stopped = new AbortController();
    this._answeredAt = Number.NEGATIVE_INFINITY;
    this._isLost = false;
    void this._run(this._stopped.signal);
  }

  stop(): void {
    this._stopped.abort();
  }

  private async _run(stopped: AbortSignal): Promise<void> {
    while (!stopped.aborted) {
      const sentAt = this._options.clock.now();
      try {
        const generation = await this._options.store.probe(TIMEOUT_MILLISECONDS, stopped);
        if (!stopped.aborted) this._onAnswer(sentAt, generation);
      } catch (error) {
        if (!stopped.aborted) this._onFailure(errorText(error));
      }
      await pause(this._isLost ? LOST_INTERVAL_MILLISECONDS : INTERVAL_MILLISECONDS, stopped);
    }
  }

  private _onAnswer(sentAt: number, generation: number): void {
    this._answeredAt = sentAt;
    this._updateGeneration(generation);
    if (this._isLost) {
      this._isLost = false;
      this._regainedAt = this._options.clock.now();
      this._options.log.state('store.regained');
    }
    this.emit('answered');
  }

  private _updateGeneration(generation: number): void {
    const former = this._generation;
    this._generation = generation;
    if (former === undefined || former === generation) return;
    this._options.log.state('store.rolled-back', { generation, former });
    this.emit('rollback');
  }

  private _onFailure(reason: string): void {
    if (this._isLost) return;
    this._isLost = true;
    this._options.log.state('store.lost', { reason });
    this.emit('lost');
  }
}
