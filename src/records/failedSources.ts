/** Sources that are excluded for a while, because they could not provide the newest records. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';

/**
 * Long enough for a frozen process or a network failure to recover, or for the next entry in the ranking to start
 * reading.
 */
const EXCLUSION_MILLISECONDS = 3_000;

export class FailedSources {
  private readonly _clock: Clock;
  private readonly _log: EventLog;
  private readonly _excludedUntil = new Map<string, number>();

  constructor(clock: Clock, log: EventLog) {
    this._clock = clock;
    this._log = log;
  }

  has(address: string): boolean {
    return (this._excludedUntil.get(address) ?? 0) > this._clock.now();
  }

  /** Excludes a source from now on. If it is excluded already, the time is not extended. */
  add(address: string, reason: string): void {
    if (this.has(address)) return;
    const now = this._clock.now();
    for (const [known, until] of this._excludedUntil) if (until <= now) this._excludedUntil.delete(known);
    this._excludedUntil.set(address, now + EXCLUSION_MILLISECONDS);
    this._log.state('records.source-failed', { source: address, reason });
  }
}
