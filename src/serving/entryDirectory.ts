/** Which entries callers may use. Learnt from a few agents, to which every live entry is connected. */
import type { EntryAddress, EntryList } from '../protocol/boxMessages.js';
import type { RecordSource } from '../records/sourceChoice.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { orderAcrossDataCentres } from '../utils/dataCentreOrder.js';
import { compareText } from '../utils/rendezvous.js';
import type { Witness } from './liveEntryLog.js';
import { LiveEntryLog } from './liveEntryLog.js';

/** Fewest entries to name, as long as there are so many. */
const FEWEST_ENTRIES = 2;
const MOST_ENTRIES = 64;
const RECORDS_KEY = 'record-sources';
/** After a start, so that entries that start together do not each take the whole of a shared bound. */
const ASSUMED_ENTRIES = 16;

/** What the agent on one box has told. */
interface Report {
  /** Entries by box. */
  entries: Map<string, EntryAddress>;
  /** Monotonic milliseconds of its last list. */
  heardAt: number;
}

/** An entry is live while any agent that is connected to this one is connected to it. */
export class EntryDirectory {
  private readonly _own: EntryAddress;
  private readonly _clock: Clock;
  private readonly _liveLog: LiveEntryLog;
  /** Reports by the box of their agent. */
  private readonly _reports = new Map<string, Report>();
  private _lastKnown: EntryAddress[] = [];
  /** Undefined after a change, until it is asked for. */
  private _live: readonly EntryAddress[] | undefined;
  private _ranked: readonly RecordSource[] = [];
  private _rankedFor: readonly EntryAddress[] = [];

  constructor(own: EntryAddress, clock: Clock, log: EventLog) {
    this._own = own;
    this._clock = clock;
    this._liveLog = new LiveEntryLog(clock, log);
  }

  /** Takes what the agent on `box` tells of the entries that it is connected to. */
  report(box: string, { whole, entries, gone }: Omit<EntryList, 'type'>): void {
    const known = whole ? new Map<string, EntryAddress>() : (this._reports.get(box)?.entries ?? new Map());
    for (const entry of entries) known.set(entry.box, entry);
    for (const left of gone) known.delete(left);
    this._reports.set(box, { entries: known, heardAt: this._clock.now() });
    this._live = this._workOut();
  }

  /** The agent on `box` is asked from now on; its whole list follows. */
  ask(_box: string): void {
    this._live = undefined;
  }

  /** The agent on `box`, which has been silent for so long, is no longer asked. */
  endAsking(_box: string, _silentMilliseconds: number): void {
    this._live = undefined;
  }

  /** Forgets an agent that is no longer connected. */
  forget(box: string): void {
    this._reports.delete(box);
    this._live = this._workOut();
  }

  /** This entry leaves: callers are not sent to it any more. */
  leave(): void {
    this._own.leaving = true;
    this._live = undefined;
  }

  /** All live entries, this one included, those that leave excluded. */
  live(): readonly EntryAddress[] {
    this._live ??= this._workOut();
    return this._live;
  }

  /** The live entries in the order in which they are asked for records of the store, as all of them work out alike. */
  recordSources(): readonly RecordSource[] {
    const live = this.live();
    if (live !== this._rankedFor) {
      this._rankedFor = live;
      const order = orderAcrossDataCentres(RECORDS_KEY, live);
      this._ranked = order.map(({ box, control }) => ({ box, address: control }));
    }
    return this._ranked;
  }

  /** How many entries share the bounds of the whole system; many, until it is known. */
  count(): number {
    return this._lastKnown.length === 0 && this._reports.size === 0
      ? ASSUMED_ENTRIES
      : this.live().length || 1;
  }

  /** How many live entries stand in this one's data centre. */
  countNear(): number {
    return this.live().filter((entry) => entry.dataCentre === this._own.dataCentre).length;
  }

  /** Addresses for a caller in `data centre`: its own data centre's entries, and others where that has too few. */
  addressesFor(dataCentre: string): string[] {
    const live = this.live();
    const near = live.filter((entry) => entry.dataCentre === dataCentre);
    const far = live.filter((entry) => entry.dataCentre !== dataCentre);
    const chosen =
      near.length >= FEWEST_ENTRIES ? near : [...near, ...far.slice(0, FEWEST_ENTRIES - near.length)];
    return chosen.slice(0, MOST_ENTRIES).map((entry) => entry.address);
  }

  private _workOut(): EntryAddress[] {
    const found = new Map<string, EntryAddress>();
    const leaving = new Set<string>();
    for (const { entries } of this._reports.values()) {
      for (const entry of entries.values()) {
        if (entry.leaving) leaving.add(entry.box);
        found.set(entry.box, entry);
      }
    }
    if (this._reports.size > 0) this._lastKnown = [...found.values()];
    else for (const entry of this._lastKnown) found.set(entry.box, entry);
    found.set(this._own.box, this._own);
    const live = [...found.values()].filter((entry) => !entry.leaving && !leaving.has(entry.box));
    this._liveLog.note(this._witnesses(live));
    return live.sort((a, b) => compareText(a.box, b.box));
  }

  /** Why each of these entries is held for live, this one excluded. */
  private _witnesses(live: readonly EntryAddress[]): Map<string, Witness> {
    const others = live.filter(({ box }) => box !== this._own.box);
    return new Map(others.map(({ box }) => [box, this._witnessOf(box)]));
  }

  private _witnessOf(box: string): Witness {
    const naming = [...this._reports].filter(([, { entries }]) => entries.has(box));
    return {
      agents: naming.map(([agent]) => agent),
      heardAt: Math.max(...naming.map(([, { heardAt }]) => heardAt)),
    };
  }
}
