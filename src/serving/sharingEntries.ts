/** Counts the entries that share system-wide limits, such as those on retries and connections. */
import type { EntryAddress } from '../protocol/boxMessages.js';
import type { PlacedBox } from '../utils/dataCentreOrder.js';
import type { Clock } from '../utils/clock.js';

/** Assumed while the entries are unknown, so that entries that start together do not each take a whole limit. */
const ASSUMED_ENTRIES = 16;
/**
 * How long an entry still counts after it is no longer listed. The first lists of newly subscribed agents lack
 * entries that have not connected to them yet; it takes a connection, a handshake and the agent's batching until
 * these are listed again.
 */
const KEEP_MILLISECONDS = 1_500;

interface Sharer {
  dataCentre: string;
  /** Monotonic milliseconds until which the entry counts; infinite while it is listed. */
  until: number;
}

/** The count rises immediately and falls with a delay, so that a gap in the lists gives no entry a larger share. */
export class SharingEntries {
  private readonly _clock: Clock;
  private readonly _keepMilliseconds: number;
  private _sharers = new Map<string, Sharer>();
  private _isKnown = false;
  /** Counts by data centre, cached until a sharer expires because they are read many times per request. */
  private _countByDataCentre = new Map<string, number>();
  private _total = 0;
  private _boxes: readonly PlacedBox[] = [];
  private _cachedUntil = Number.POSITIVE_INFINITY;

  /** An entry counts for `keepMilliseconds` after it is no longer listed. */
  constructor(own: EntryAddress, clock: Clock, keepMilliseconds = KEEP_MILLISECONDS) {
    this._clock = clock;
    this._keepMilliseconds = keepMilliseconds;
    this._setListed([own]);
  }

  /** Sets the entries listed by agents. Not called while no agent reports, so that the last list stays in use. */
  setEntries(known: readonly EntryAddress[]): void {
    this._isKnown = true;
    this._setListed(known);
  }

  /** Number of entries, at least 1; a high assumed number until the entries are known. */
  count(): number {
    this._refresh();
    return this._isKnown ? Math.max(1, this._total) : ASSUMED_ENTRIES;
  }

  /** All entries that count; undefined until the entries are known. */
  all(): readonly PlacedBox[] | undefined {
    this._refresh();
    return this._isKnown ? this._boxes : undefined;
  }

  /** Number of these entries in `dataCentre`. */
  countIn(dataCentre: string): number {
    this._refresh();
    return this._countByDataCentre.get(dataCentre) ?? 0;
  }

  private _setListed(known: readonly EntryAddress[]): void {
    const until = this._clock.now() + this._keepMilliseconds;
    const sharers = new Map<string, Sharer>();
    for (const { box, dataCentre } of known)
      sharers.set(box, { dataCentre, until: Number.POSITIVE_INFINITY });
    for (const [box, sharer] of this._sharers) {
      if (!sharers.has(box)) sharers.set(box, { ...sharer, until: Math.min(sharer.until, until) });
    }
    this._sharers = sharers;
    this._recount();
  }

  private _refresh(): void {
    if (this._clock.now() >= this._cachedUntil) this._recount();
  }

  private _recount(): void {
    const now = this._clock.now();
    for (const [box, { until }] of this._sharers) if (until <= now) this._sharers.delete(box);
    const sharers = [...this._sharers.values()];
    this._countByDataCentre = new Map();
    for (const { dataCentre } of sharers) {
      this._countByDataCentre.set(dataCentre, (this._countByDataCentre.get(dataCentre) ?? 0) + 1);
    }
    this._total = sharers.length;
    this._boxes = [...this._sharers].map(([box, { dataCentre }]) => ({ box, dataCentre }));
    this._cachedUntil = Math.min(...sharers.map(({ until }) => until));
  }
}
