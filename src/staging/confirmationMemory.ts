/**
 * Keeps the last confirmed load of the backend server in a store. An agent that restarts needs it if no entry remembers
 * the load, and the staged chunks have been replaced by those of a newer version.
 */
import type { ConfirmedLoad } from '../protocol/boxMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import { Backoff } from '../utils/backoff.js';
import type { Random } from '../utils/random.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';

/** Where the load is kept. Both calls reject with a StepError if there is no usable answer. */
export interface ConfirmationStore {
  /** Returns the stored load; undefined if there is none. */
  read(): Promise<ConfirmedLoad | undefined>;
  /** Replaces the stored load. */
  write(load: ConfirmedLoad): Promise<void>;
}

/** Options of {@link ConfirmationMemory}. */
export interface ConfirmationMemoryOptions {
  store: ConfirmationStore;
  random: Random;
  log: EventLog;
  /** Called with a load that was read from the store. */
  onRecalled: (load: ConfirmedLoad) => void;
}

const RETRY_BACKOFF = { firstMilliseconds: 500, longestMilliseconds: 8_000 };

export class ConfirmationMemory {
  private readonly _options: ConfirmationMemoryOptions;
  private readonly _stopped = new AbortController();
  private _isRecalling = false;
  private _latest: ConfirmedLoad | undefined;

  constructor(options: ConfirmationMemoryOptions) {
    this._options = options;
  }

  /** Reads the stored load, once. */
  recall(): void {
    if (this._isRecalling) return;
    this._isRecalling = true;
    const { store, log, onRecalled } = this._options;
    void this._retry('confirmation.not-read', async () => {
      const load = await store.read();
      log.state('confirmation.read', { ...load });
      if (load) onRecalled(load);
    });
  }

  /** Stores a load, unless a later one follows before the store has answered. */
  remember(load: ConfirmedLoad): void {
    this._latest = load;
    void this._retry('confirmation.not-written', async () => {
      if (this._latest === load) await this._options.store.write(load);
    });
  }

  stop(): void {
    this._stopped.abort();
  }

  private async _retry(step: string, work: () => Promise<void>): Promise<void> {
    const { signal } = this._stopped;
    const backoff = new Backoff(RETRY_BACKOFF, this._options.random);
    while (!signal.aborted) {
      try {
        return await work();
      } catch (error) {
        this._options.log.decision(step, { reason: errorText(error) });
        await pause(backoff.nextWait(), signal);
      }
    }
  }
}
