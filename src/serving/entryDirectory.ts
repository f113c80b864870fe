/**
 * Which entries callers may use. Learnt from a few agents, to which every live entry is connected.
 *
 * An entry that has gone off without a word is named for at most the sum of these times:
 * 1. `noticedWithin` the time-out of peers: the agents find that the entry is silent;
 * 2. `LONGEST_GATHER_MILLISECONDS`: the agents gather what they tell;
 * 3. only where an agent falls silent as well before it could tell, `noticedWithin` once more, after which its report counts no
 *    longer; or, where no report is left, `REMEMBERED_MILLISECONDS` since the last word of the agent that had one. These overlap,
 *    so that the longer of them counts.
 */
import type { EntryAddress, EntryList } from '../protocol/boxMessages.js';
import type { RecordSource } from '../records/sourceChoice.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { orderAcrossDataCentres } from '../utils/dataCentreOrder.js';
import { compareText } from '../utils/rendezvous.js';
import type { AgentActivity } from './agentReports.js';
import { AgentReports } from './agentReports.js';
import type { LivenessEvidence } from './liveEntryLog.js';
import { LiveEntryLog } from './liveEntryLog.js';
import { SharingEntries } from './sharingEntries.js';
import type { PlacedBox } from '../utils/dataCentreOrder.js';

/** What a directory works with. */
export interface EntryDirectoryOptions {
  own: EntryAddress;
  clock: Clock;
  log: EventLog;
  /** Silence after which an agent counts as gone. */
  peerTimeoutMilliseconds: number;
}

/** Fewest entries to name, as long as there are so many. */
const FEWEST_ENTRIES = 2;
const MOST_ENTRIES = 64;
const RECORDS_KEY = 'record-sources';
/**
 * How long entries are named that no report confirms, from the last word of an agent on: where all agents are exchanged, or their
 * connections reset, the next lists come sooner. Silence takes longer to be noticed, so that it adds nothing to the sum above.
 */
export const REMEMBERED_MILLISECONDS = 2_000;

/**
 * How long an entry that is lost holds its share of the limits that servers name. It may go on sending where agents cannot be reached,
 * and one that starts again is back within this time.
 */
const LIMIT_HOLD_MILLISECONDS = 10_000;

/** An entry is live while any agent that is asked and connected names it. */
export class EntryDirectory {
  private readonly _own: EntryAddress;
  private readonly _clock: Clock;
  private readonly _reports: AgentReports;
  private readonly _sharing: SharingEntries;
  private readonly _limitSharing: SharingEntries;
  private readonly _liveLog: LiveEntryLog;
  /** Entries as the reports told them while there were any, this one not always included. */
  private _told: readonly EntryAddress[] = [];
  /** Monotonic milliseconds of the last word behind {@link EntryDirectory._told}, once no report is left; -infinity before. */
  private _lastWordAt = Number.NEGATIVE_INFINITY;
  /** All of {@link EntryDirectory._told} and this one, those that leave excluded. */
  private _known: readonly EntryAddress[] = [];
  private _live: readonly EntryAddress[] = [];
  /** What {@link EntryDirectory._live} was worked out from. */
  private _liveFor = '';
  private _ranked: readonly RecordSource[] = [];
  private _rankedFor: readonly EntryAddress[] | undefined;

  constructor({ own, clock, log, peerTimeoutMilliseconds }: EntryDirectoryOptions) {
    this._own = own;
    this._clock = clock;
    this._reports = new AgentReports(clock, peerTimeoutMilliseconds);
    this._sharing = new SharingEntries(own, clock);
    this._limitSharing = new SharingEntries(own, clock, LIMIT_HOLD_MILLISECONDS);
    this._liveLog = new LiveEntryLog(clock, log);
    this._workOut();
  }

  /** The agent on `box` is asked from now on; its whole list follows. */
  subscribe(box: string, activity: AgentActivity): void {
    this._reports.subscribe(box, activity);
    this._workOut();
  }

  /** The agent on `box` is no longer asked or connected: what it told no longer counts. */
  unsubscribe(box: string): void {
    this._refresh();
    const activity = this._reports.unsubscribe(box);
    const isLast = this._reports.validAgents().length === 0;
    const lastWordAt = activity && this._clock.now() - activity.silentMilliseconds;
    if (lastWordAt !== undefined && isLast) this._lastWordAt = Math.max(this._lastWordAt, lastWordAt);
    this._workOut();
  }

  /** Takes what the agent on `box` tells of the entries that it is connected to. */
  applyList(box: string, list: Omit<EntryList, 'type'>): void {
    if (this._reports.applyList(box, list)) this._workOut();
  }

  /** This entry leaves: callers are not sent to it any more. */
  leave(): void {
    this._own.leaving = true;
    this._workOut();
  }

  /** All live entries, this one included, those that leave excluded. Without word of any agent, only this one. */
  live(): readonly EntryAddress[] {
    this._refresh();
    return this._live;
  }

  /**
   * The entries in the order in which they are asked for records of the store, as all of them work out alike. Here entries stay
   * that nobody confirms: each source proves itself on its own connection within a second, so that a dead one does little harm,
   * while without any source every entry that has lost its agents would read the store itself.
   */
  recordSources(): readonly RecordSource[] {
    this._refresh();
    if (this._known !== this._rankedFor) {
      this._rankedFor = this._known;
      const order = orderAcrossDataCentres(RECORDS_KEY, this._known);
      this._ranked = order.map(({ box, control }) => ({ box, address: control }));
    }
    return this._ranked;
  }

  /** Entries that share the limits of servers; undefined until they are known. */
  limitSharers(): readonly PlacedBox[] | undefined {
    return this._limitSharing.all();
  }

  /** How many entries share the bounds of the whole system; no fewer when nobody confirms them, and many until it is known. */
  count(): number {
    return this._sharing.count();
  }

  /** How many of these stand in this one's data centre. */
  countInOwnDataCentre(): number {
    return this._sharing.countIn(this._own.dataCentre);
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

  /** Time alone may end what counts. */
  private _refresh(): void {
    if (this._basis() !== this._liveFor) this._workOut();
  }

  /** The agents by whose word entries are live, or whether they are still remembered. */
  private _basis(): string {
    const counted = this._reports.validAgents();
    if (counted.length > 0) return counted.join();
    return this._clock.now() - this._lastWordAt <= REMEMBERED_MILLISECONDS ? 'remembered' : '';
  }

  private _workOut(): void {
    this._liveFor = this._basis();
    if (this._reports.validAgents().length > 0) this._takeReports();
    else this._known = this._withOwn(this._told);
    this._live = this._liveFor === '' ? this._withOwn([]) : this._known;
    this._liveLog.note(this._evidence());
  }

  private _takeReports(): void {
    this._told = this._reports.entries();
    this._lastWordAt = Number.NEGATIVE_INFINITY;
    this._known = this._withOwn(this._told);
    this._sharing.note(this._known);
    this._limitSharing.note(this._known);
  }

  /** These entries and this one, those that leave excluded. */
  private _withOwn(entries: readonly EntryAddress[]): readonly EntryAddress[] {
    const others = entries.filter(({ box }) => box !== this._own.box);
    const staying = [...others, this._own].filter(({ leaving }) => !leaving);
    return staying.sort((a, b) => compareText(a.box, b.box));
  }

  /** Why each live entry is held for live, this one excluded. */
  private _evidence(): Map<string, LivenessEvidence> {
    const others = this._live.filter(({ box }) => box !== this._own.box);
    return new Map(others.map(({ box }) => [box, this._reports.evidenceOf(box)]));
  }
}
