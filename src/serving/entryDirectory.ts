/**
 * Tracks the live entries that callers may use, as reported by a few agents that every live entry connects to.
 *
 * An entry that disappears without notice is listed for at most the sum of these times:
 * 1. `maximumDetectionMilliseconds` of the peer timeout, in which the agents detect that the entry is silent;
 * 2. `MAX_BATCH_DELAY_MILLISECONDS`, for which the agents batch their changes;
 * 3. only if an agent also falls silent before it reports the loss: `maximumDetectionMilliseconds` once more, after
 *    which its report is invalid, or, if no valid report is left, `REMEMBERED_MILLISECONDS` after the agent was last
 *    heard. These two overlap, so only the longer one counts.
 */
import type { NamesEntriesOf } from '../locality/directoryRegions.js';
import type { EntryAddress, EntryList } from '../protocol/boxMessages.js';
import { SettledEntries } from '../backpressure/settledEntries.js';
import type { RecordSource } from '../records/sourceChoice.js';
import type { GatewaySettings } from '../settings/gatewaySettings.js';
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

export interface EntryDirectoryOptions {
  own: EntryAddress;
  clock: Clock;
  log: EventLog;
  /** Silence after which an agent is considered lost. */
  peerTimeoutMilliseconds: number;
}

/** Minimum number of entries in an answer of the directory, if there are as many. */
const MIN_ENTRIES = 2;
const MAX_ENTRIES = 64;
const RECORDS_KEY = 'record-sources';
/**
 * How long entries stay listed without a valid report, counted from when the last agent was heard. It covers the
 * time until new lists arrive after all agents have been replaced or their connections reset. Detecting silence
 * takes longer, so this adds nothing to the sum above.
 */
export const REMEMBERED_MILLISECONDS = 2_000;

/**
 * How long a lost entry keeps its share of server limits. It may go on sending while it cannot reach agents, and an
 * entry that restarts is back within this time.
 */
const KEEP_LIMIT_SHARE_MILLISECONDS = 10_000;

/** Returns the address of an entry that has just started. */
export function entryAddressOf(settings: GatewaySettings): EntryAddress {
  const { box, dataCentre, callerAddress, controlAddress } = settings;
  return { box, dataCentre, address: callerAddress, control: controlAddress, leaving: false };
}

/** An entry is live while any connected agent that this entry subscribes to lists it. */
export class EntryDirectory {
  private readonly _own: EntryAddress;
  private readonly _clock: Clock;
  private readonly _reports: AgentReports;
  private readonly _sharing: SharingEntries;
  private readonly _limitSharing: SharingEntries;
  private readonly _settled: SettledEntries;
  private readonly _liveLog: LiveEntryLog;
  /** Entries of the last valid reports; this entry is not always included. */
  private _reported: readonly EntryAddress[] = [];
  /**
   * Monotonic milliseconds at which the last agent behind {@link EntryDirectory._reported} was heard; -Infinity while
   * there are valid reports.
   */
  private _lastHeardAt = Number.NEGATIVE_INFINITY;
  /** {@link EntryDirectory._reported} and this entry, without leaving entries. */
  private _known: readonly EntryAddress[] = [];
  private _live: readonly EntryAddress[] = [];
  /** The value of {@link EntryDirectory._basis} for which {@link EntryDirectory._live} was computed. */
  private _liveBasis = '';
  private _ranked: readonly RecordSource[] = [];
  private _rankedFor: readonly EntryAddress[] | undefined;

  constructor({ own, clock, log, peerTimeoutMilliseconds }: EntryDirectoryOptions) {
    this._own = own;
    this._clock = clock;
    this._reports = new AgentReports(clock, peerTimeoutMilliseconds);
    this._sharing = new SharingEntries(own, clock);
    this._limitSharing = new SharingEntries(own, clock, KEEP_LIMIT_SHARE_MILLISECONDS);
    this._settled = new SettledEntries(clock);
    this._liveLog = new LiveEntryLog(clock, log);
    this._recompute();
  }

  /** Subscribes to the agent on `box`; its complete list follows. */
  subscribe(box: string, activity: AgentActivity): void {
    this._reports.subscribe(box, activity);
    this._recompute();
  }

  /** Ends the subscription to the agent on `box` and drops its report. */
  unsubscribe(box: string): void {
    this._refresh();
    const activity = this._reports.unsubscribe(box);
    const isLast = this._reports.validAgents().length === 0;
    const lastHeardAt = activity && this._clock.now() - activity.silentMilliseconds;
    if (lastHeardAt !== undefined && isLast) this._lastHeardAt = Math.max(this._lastHeardAt, lastHeardAt);
    this._recompute();
  }

  /** Applies an entry list from the agent on `box`. */
  applyList(box: string, list: Omit<EntryList, 'type'>): void {
    if (this._reports.applyList(box, list)) this._recompute();
  }

  /** Marks this entry as leaving, so that the directory no longer lists it. */
  leave(): void {
    this._own.leaving = true;
    this._recompute();
  }

  /** Live entries, including this one, that are not leaving; only this one if no report is valid or remembered. */
  live(): readonly EntryAddress[] {
    this._refresh();
    return this._live;
  }

  /** Whether the agents report no other entry that is not leaving; false while no agent's report is valid. */
  get isOnlyEntry(): boolean {
    this._refresh();
    return this._reports.validAgents().length > 0 && this._known.every(({ box }) => box === this._own.box);
  }

  /**
   * The entries in the order in which they serve as sources of store records; the order is the same on all entries.
   * Unconfirmed entries are included: a dead source is detected on its own connection within a second, whereas
   * without any source every entry that has lost its agents would read the store itself.
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

  /** Entries that share the limits of servers; undefined until the entries are known. */
  limitSharers(): readonly PlacedBox[] | undefined {
    return this._limitSharing.all();
  }

  /** Entries that share cold servers; undefined until the list of entries is complete. */
  coldSharers(): readonly PlacedBox[] | undefined {
    return this._settled.isSettled ? this._limitSharing.all() : undefined;
  }

  /**
   * Number of entries that share system-wide limits. It does not fall when reports are lost, and is a high assumed
   * number until the entries are known.
   */
  count(): number {
    return this._sharing.count();
  }

  /** Number of these entries in this entry's data centre. */
  countInOwnDataCentre(): number {
    return this._sharing.countIn(this._own.dataCentre);
  }

  /**
   * Addresses for a caller in `dataCentre`: the entries there, and others if these are too few. Entries that `mayName`
   * excludes are never among them.
   */
  addressesFor(dataCentre: string, mayName: NamesEntriesOf = () => true): string[] {
    const live = this.live().filter((entry) => mayName(entry.dataCentre));
    const sameDataCentre = live.filter((entry) => entry.dataCentre === dataCentre);
    const otherDataCentres = live.filter((entry) => entry.dataCentre !== dataCentre);
    const chosen =
      sameDataCentre.length >= MIN_ENTRIES
        ? sameDataCentre
        : [...sameDataCentre, ...otherDataCentres.slice(0, MIN_ENTRIES - sameDataCentre.length)];
    return chosen.slice(0, MAX_ENTRIES).map((entry) => entry.address);
  }

  /** Recomputes the live entries if reports have become valid or invalid with time. */
  private _refresh(): void {
    if (this._basis() !== this._liveBasis) this._recompute();
  }

  /** Identifies what the live entries are based on: agents with valid reports, remembered entries, or nothing. */
  private _basis(): string {
    const agents = this._reports.validAgents();
    if (agents.length > 0) return agents.join();
    return this._clock.now() - this._lastHeardAt <= REMEMBERED_MILLISECONDS ? 'remembered' : '';
  }

  private _recompute(): void {
    this._liveBasis = this._basis();
    if (this._reports.validAgents().length > 0) this._applyReports();
    else this._known = this._withOwn(this._reported);
    this._live = this._liveBasis === '' ? this._withOwn([]) : this._known;
    this._liveLog.update(this._evidence());
  }

  private _applyReports(): void {
    this._reported = this._reports.entries();
    this._lastHeardAt = Number.NEGATIVE_INFINITY;
    this._known = this._withOwn(this._reported);
    this._sharing.setEntries(this._known);
    this._limitSharing.setEntries(this._known);
    this._settled.noteList(this._known);
  }

  /** `entries` and this entry, without leaving entries, sorted by box. */
  private _withOwn(entries: readonly EntryAddress[]): readonly EntryAddress[] {
    const others = entries.filter(({ box }) => box !== this._own.box);
    const staying = [...others, this._own].filter(({ leaving }) => !leaving);
    return staying.sort((a, b) => compareText(a.box, b.box));
  }

  /** The evidence for each live entry except this one. */
  private _evidence(): Map<string, LivenessEvidence> {
    const others = this._live.filter(({ box }) => box !== this._own.box);
    return new Map(others.map(({ box }) => [box, this._reports.evidenceOf(box)]));
  }
}
