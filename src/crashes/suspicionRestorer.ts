/**
 * Keeps the suspicions that a rollback of the store has lost, and writes them again. Only entries write suspicions,
 * so nobody else restores them.
 */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Random } from '../utils/random.js';
import { pause } from '../utils/timers.js';
import { restoreKnown, removeCleared } from './suspicion.js';
import type { KnownSuspicions, SuspicionCopies } from './suspicionCopies.js';
import type { SuspicionWriter } from './suspicionWriter.js';

export interface SuspicionRestorerOptions {
  copies: SuspicionCopies;
  writer: SuspicionWriter;
  /** Whether this process is one of the few that read the store. */
  isReading: () => boolean;
  random: Random;
  log: EventLog;
}

/**
 * After a rollback, each entry that reads the store waits a random part of this time before it restores, so that
 * usually only one of them has to write.
 */
const RESTORE_MILLISECONDS = 400;
/** The other entries restore by this time, in case all that read the store have just started and know no suspicions. */
const RESTORE_BY_OTHERS_MILLISECONDS = 1_600;

export class SuspicionRestorer {
  private readonly _options: SuspicionRestorerOptions;
  private readonly _stopped = new AbortController();

  constructor(options: SuspicionRestorerOptions) {
    this._options = options;
    options.copies.on('rollback', (known) => void this._restore(known));
  }

  stop(): void {
    this._stopped.abort();
  }

  private async _restore(known: KnownSuspicions): Promise<void> {
    const { suspected, cleared } = known;
    this._queueSuspected(known);
    // The copies are replaced right after this event: only then do cleared suspicions show up again.
    await Promise.resolve();
    this._queueCleared(known);
    this._options.log.state('suspicions.restoring', { suspected: suspected.size, cleared: cleared.size });
    await pause(this._waitMilliseconds(), this._stopped.signal);
    for (const fingerprint of [...suspected.keys(), ...cleared.keys()]) {
      if (this._stopped.signal.aborted) return;
      await this._options.writer.flush(fingerprint);
    }
  }

  private _queueSuspected({ suspected }: KnownSuspicions): void {
    for (const [fingerprint, known] of suspected)
      this._options.writer.queue(fingerprint, (suspicion) => restoreKnown(suspicion, known));
  }

  private _queueCleared({ cleared }: KnownSuspicions): void {
    const { copies, writer } = this._options;
    for (const [fingerprint, former] of cleared) {
      if (copies.get(fingerprint).suspicion)
        writer.queue(fingerprint, (suspicion) => removeCleared(suspicion, former));
    }
  }

  /** Entries that do not read the store wait until those that do must have written. */
  private _waitMilliseconds(): number {
    const { isReading, random } = this._options;
    if (isReading()) return random.fraction() * RESTORE_MILLISECONDS;
    const others = RESTORE_BY_OTHERS_MILLISECONDS - RESTORE_MILLISECONDS;
    return RESTORE_MILLISECONDS + random.fraction() * others;
  }
}
