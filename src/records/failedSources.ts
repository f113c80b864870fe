/** Sources that are passed over for a while, since they could not tell the newest. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';

/** Long enough for a frozen process or a cut to be over, or for the next in the order to have begun to read. */
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

  /** Passes over a source from now on; what has failed already does not fail anew. */
  add(address: string, reason: string): void {
    if (this.has(address)) return;
    const now = this._clock.now();
    for (const [known, until] of this._excludedUntil) if (until <= now) this._excludedUntil.delete(known);
    this._excludedUntil.set(address, now + EXCLUSION_MILLISECONDS);
    this._log.state('records.source-failed', { source: address, reason });
  }
}
