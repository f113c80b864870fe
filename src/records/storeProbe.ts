/** Asks the store now and then whether it is there: a watch that waits cannot tell a quiet store from a lost one. */
import { EventEmitter } from 'node:events';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import type { WatchableStore } from './watchableStore.js';

/** What a probe works with. */
export interface StoreProbeOptions {
  store: WatchableStore;
  clock: Clock;
  log: EventLog;
}

interface StoreProbeEvents {
  /** The store answers again: watches that were opened before may hang. */
  regained: [];
}

const INTERVAL_MILLISECONDS = 1_000;
const LOST_INTERVAL_MILLISECONDS = 250;
const TIMEOUT_MILLISECONDS = 800;

export class StoreProbe extends EventEmitter<StoreProbeEvents> {
  private readonly _options: StoreProbeOptions;
  private readonly _stopped = new AbortController();
  private _lostAt: number | undefined;
  private _regainedAt = Number.NEGATIVE_INFINITY;

  constructor(options: StoreProbeOptions) {
    super();
    this._options = options;
  }

  /** Milliseconds since the store was last known to answer; 0 while it does. */
  get lostFor(): number {
    return this._lostAt === undefined ? 0 : this._options.clock.now() - this._lostAt;
  }

  /** Milliseconds since the store was regained; infinite when it never was lost. */
  get regainedFor(): number {
    return this._options.clock.now() - this._regainedAt;
  }

  start(): void {
    void this._run();
  }

  stop(): void {
    this._stopped.abort();
  }

  private async _run(): Promise<void> {
    const { signal } = this._stopped;
    while (!signal.aborted) {
      const askedAt = this._options.clock.now();
      try {
        await this._options.store.probe(TIMEOUT_MILLISECONDS, signal);
        this._onAnswer();
      } catch (error) {
        this._onSilence(askedAt, errorText(error));
      }
      await pause(this._lostAt === undefined ? INTERVAL_MILLISECONDS : LOST_INTERVAL_MILLISECONDS, signal);
    }
  }

  private _onAnswer(): void {
    if (this._lostAt === undefined) return;
    this._options.log.state('store.regained', { milliseconds: Math.round(this.lostFor) });
    this._lostAt = undefined;
    this._regainedAt = this._options.clock.now();
    this.emit('regained');
  }

  private _onSilence(askedAt: number, reason: string): void {
    if (this._stopped.signal.aborted || this._lostAt !== undefined) return;
    this._lostAt = askedAt;
    this._options.log.state('store.lost', { reason });
  }
}
