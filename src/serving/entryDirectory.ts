/** Which entries callers may use. Learnt from the agents, to which every live entry is connected. */
import type { EntryAddress } from '../protocol/boxMessages.js';
import type { Clock } from '../utils/clock.js';
import { compareText } from '../utils/rendezvous.js';

/** How long an agent's word on entries counts. */
const REPORT_LIFETIME_MILLISECONDS = 4_000;
/** Fewest entries to name, as long as there are so many. */
const FEWEST_ENTRIES = 2;
const MOST_ENTRIES = 64;

interface AgentReport {
  entries: readonly EntryAddress[];
  at: number;
}

/** An entry is live while any agent that was heard of lately is connected to it. */
export class EntryDirectory {
  private readonly _own: EntryAddress;
  private readonly _clock: Clock;
  private readonly _reports = new Map<string, AgentReport>();
  private _lastKnown: EntryAddress[] = [];

  constructor(own: EntryAddress, clock: Clock) {
    this._own = own;
    this._clock = clock;
  }

  /** Takes the entries that the agent on `box` is connected to. */
  report(box: string, entries: readonly EntryAddress[]): void {
    this._reports.set(box, { entries, at: this._clock.now() });
  }

  /** Forgets an agent that is no longer connected. */
  forget(box: string): void {
    this._reports.delete(box);
  }

  /** All live entries, this one included, those that leave excluded. */
  live(): EntryAddress[] {
    const oldest = this._clock.now() - REPORT_LIFETIME_MILLISECONDS;
    const found = new Map<string, EntryAddress>();
    let heard = false;
    const leaving = new Set<string>();
    for (const { entries, at } of this._reports.values()) {
      if (at < oldest) continue;
      heard = true;
      for (const entry of entries) {
        if (entry.leaving) leaving.add(entry.box);
        found.set(entry.box, entry);
      }
    }
    if (heard) this._lastKnown = [...found.values()];
    else for (const entry of this._lastKnown) found.set(entry.box, entry);
    found.set(this._own.box, this._own);
    const live = [...found.values()].filter((entry) => !entry.leaving && !leaving.has(entry.box));
    return live.sort((a, b) => compareText(a.box, b.box));
  }

  /** How many entries share the bounds of the whole system. */
  count(): number {
    return Math.max(1, this.live().length);
  }

  /** Addresses for a caller in `hall`: its own hall's entries, and others where that has too few. */
  addressesFor(hall: string): string[] {
    const live = this.live();
    const near = live.filter((entry) => entry.hall === hall);
    const far = live.filter((entry) => entry.hall !== hall);
    const chosen =
      near.length >= FEWEST_ENTRIES ? near : [...near, ...far.slice(0, FEWEST_ENTRIES - near.length)];
    return chosen.slice(0, MOST_ENTRIES).map((entry) => entry.address);
  }
}
