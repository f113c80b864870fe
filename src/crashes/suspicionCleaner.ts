/** Removes suspicions of requests that nobody repeats from the store; the other entries see that in their copies. */
import { isDeepStrictEqual } from 'node:util';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { Suspicion } from './suspicion.js';
import { isShutOut } from './suspicion.js';
import type { SuspicionCopies } from './suspicionCopies.js';
import type { SuspicionWriter } from './suspicionWriter.js';

export interface SuspicionCleanerOptions {
  copies: SuspicionCopies;
  writer: SuspicionWriter;
  /** Whether this process is one of the few that read the store, and that remove stale suspicions from it. */
  isReading: () => boolean;
  clock: Clock;
  log: EventLog;
}

/** A suspicion is removed when it has not changed for this time, because nobody has repeated the request. */
const SUSPECTED_TTL_MILLISECONDS = 60_000;
/** The same for a request that is shut out. */
const SHUT_OUT_TTL_MILLISECONDS = 24 * 3_600_000;
const INTERVAL_MILLISECONDS = 10_000;

export class SuspicionCleaner {
  private readonly _options: SuspicionCleanerOptions;
  private readonly _timer: NodeJS.Timeout;

  constructor(options: SuspicionCleanerOptions) {
    this._options = options;
    this._timer = setInterval(() => this._removeStale(), INTERVAL_MILLISECONDS).unref();
  }

  stop(): void {
    clearInterval(this._timer);
  }

  private _removeStale(): void {
    const { isReading, copies, clock } = this._options;
    if (!isReading()) return;
    for (const [fingerprint, { suspicion, seenAt }] of copies.all()) {
      if (!suspicion) continue;
      const keptFor = isShutOut(suspicion) ? SHUT_OUT_TTL_MILLISECONDS : SUSPECTED_TTL_MILLISECONDS;
      if (clock.now() - seenAt > keptFor) void this._remove(fingerprint, suspicion);
    }
  }

  private async _remove(fingerprint: string, stale: Suspicion): Promise<void> {
    this._options.log.decision('suspicion.forgotten', { fingerprint, ends: stale.ends.length });
    // A suspicion that has changed in the meantime stays.
    const change = (suspicion: Suspicion | undefined): Suspicion | undefined =>
      isDeepStrictEqual(suspicion, stale) ? undefined : suspicion;
    await this._options.writer.write(fingerprint, change);
  }
}
