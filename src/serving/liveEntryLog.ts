/** Writes a line whenever this entry begins or ceases to hold another entry for live, and by whose word it did. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';

/** Why an entry is held for live. */
export interface LivenessEvidence {
  /** Boxes of the agents that name it; none while it is only remembered. */
  agents: readonly string[];
  /** Monotonic milliseconds of the newest list of these agents. */
  heardAt: number;
}

interface Belief extends LivenessEvidence {
  since: number;
}

/** One line a change, however many lists say the same. */
export class LiveEntryLog {
  private readonly _clock: Clock;
  private readonly _log: EventLog;
  private _beliefs = new Map<string, Belief>();

  constructor(clock: Clock, log: EventLog) {
    this._clock = clock;
    this._log = log;
  }

  /** Takes all entries that are held for live now. */
  note(evidenceByEntry: ReadonlyMap<string, LivenessEvidence>): void {
    const beliefs = new Map<string, Belief>();
    for (const [entry, evidence] of evidenceByEntry) beliefs.set(entry, this._believe(entry, evidence));
    for (const [entry, belief] of this._beliefs) if (!beliefs.has(entry)) this._tellEnd(entry, belief);
    this._beliefs = beliefs;
  }

  private _believe(entry: string, evidence: LivenessEvidence): Belief {
    const known = this._beliefs.get(entry);
    if (!known) {
      const now = this._clock.now();
      this._log.state('entry.live', { entry, agents: evidence.agents });
      return { ...evidence, since: now };
    }
    // while an entry is only remembered, the line of its end names who spoke of it last
    return evidence.agents.length > 0 ? { ...evidence, since: known.since } : known;
  }

  private _tellEnd(entry: string, { agents, heardAt, since }: Belief): void {
    const now = this._clock.now();
    const age = Math.round(now - heardAt);
    this._log.state('entry.not-live', { entry, agents, age, liveFor: Math.round(now - since) });
  }
}
