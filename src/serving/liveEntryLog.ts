/** Logs when another entry becomes live or stops being live, and which agents reported it. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';

/** Why an entry is considered live. */
export interface LivenessEvidence {
  /** Boxes of the agents that list it; empty while it is only remembered. */
  agents: readonly string[];
  /** Monotonic milliseconds of the newest update from these agents. */
  heardAt: number;
}

interface LiveEntry extends LivenessEvidence {
  since: number;
}

/** Writes one line per change, however many agents report it. */
export class LiveEntryLog {
  private readonly _clock: Clock;
  private readonly _log: EventLog;
  private _liveEntries = new Map<string, LiveEntry>();

  constructor(clock: Clock, log: EventLog) {
    this._clock = clock;
    this._log = log;
  }

  /** Compares the entries that are live now with the previous ones and logs the changes. */
  update(evidenceByEntry: ReadonlyMap<string, LivenessEvidence>): void {
    const current = new Map<string, LiveEntry>();
    for (const [entry, evidence] of evidenceByEntry) current.set(entry, this._updateEntry(entry, evidence));
    for (const [entry, liveEntry] of this._liveEntries)
      if (!current.has(entry)) this._logEnd(entry, liveEntry);
    this._liveEntries = current;
  }

  private _updateEntry(entry: string, evidence: LivenessEvidence): LiveEntry {
    const known = this._liveEntries.get(entry);
    if (!known) {
      const now = this._clock.now();
      this._log.state('entry.live', { entry, agents: evidence.agents });
      return { ...evidence, since: now };
    }
    // Keep the last agents while the entry is only remembered, so that the final log line names them.
    return evidence.agents.length > 0 ? { ...evidence, since: known.since } : known;
  }

  private _logEnd(entry: string, { agents, heardAt, since }: LiveEntry): void {
    const now = this._clock.now();
    const age = Math.round(now - heardAt);
    this._log.state('entry.not-live', { entry, agents, age, liveFor: Math.round(now - since) });
  }
}
