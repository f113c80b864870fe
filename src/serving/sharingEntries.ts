/** How many entries share the bounds of the whole system, such as retries and connections. */
import type { EntryAddress } from '../protocol/boxMessages.js';
import type { PlacedBox } from '../utils/dataCentreOrder.js';
import type { Clock } from '../utils/clock.js';

/** After a start, so that entries that start together do not each take the whole of a shared bound. */
const ASSUMED_ENTRIES = 16;
/**
 * How long an entry counts that is no longer known. Where other agents are asked, their first lists lack entries that are yet to
 * connect to them: a dial, a handshake and the agent's gathering later they are named again.
 */
const HOLD_MILLISECONDS = 1_500;

interface Sharer {
  dataCentre: string;
  /** Monotonic milliseconds until which it counts; infinite while it is known. */
  until: number;
}

/** The number rises at once and falls late: a gap in what is known must give no entry a larger share. */
export class SharingEntries {
  private readonly _clock: Clock;
  private readonly _holdMilliseconds: number;
  private _sharers = new Map<string, Sharer>();
  private _isKnown = false;
  /** Numbers by data centre, which hold until a sharer's time is up: they are asked for many times a request. */
  private _numbers = new Map<string, number>();
  private _total = 0;
  private _placed: readonly PlacedBox[] = [];
  private _numbersUntil = Number.POSITIVE_INFINITY;

  /** An entry counts for `holdMilliseconds` after it is no longer known. */
  constructor(own: EntryAddress, clock: Clock, holdMilliseconds = HOLD_MILLISECONDS) {
    this._clock = clock;
    this._holdMilliseconds = holdMilliseconds;
    this._take([own]);
  }

  /** Takes all entries that are known by the word of an agent; without such word there is nothing to note. */
  note(known: readonly EntryAddress[]): void {
    this._isKnown = true;
    this._take(known);
  }

  /** At least one; many, until it is known. */
  count(): number {
    this._refresh();
    return this._isKnown ? Math.max(1, this._total) : ASSUMED_ENTRIES;
  }

  /** All that count; undefined until they are known. */
  all(): readonly PlacedBox[] | undefined {
    this._refresh();
    return this._isKnown ? this._placed : undefined;
  }

  /** How many of these stand in `dataCentre`. */
  countIn(dataCentre: string): number {
    this._refresh();
    return this._numbers.get(dataCentre) ?? 0;
  }

  private _take(known: readonly EntryAddress[]): void {
    const until = this._clock.now() + this._holdMilliseconds;
    const sharers = new Map<string, Sharer>();
    for (const { box, dataCentre } of known)
      sharers.set(box, { dataCentre, until: Number.POSITIVE_INFINITY });
    for (const [box, sharer] of this._sharers) {
      if (!sharers.has(box)) sharers.set(box, { ...sharer, until: Math.min(sharer.until, until) });
    }
    this._sharers = sharers;
    this._countAnew();
  }

  private _refresh(): void {
    if (this._clock.now() >= this._numbersUntil) this._countAnew();
  }

  private _countAnew(): void {
    const now = this._clock.now();
    for (const [box, { until }] of this._sharers) if (until <= now) this._sharers.delete(box);
    const sharers = [...this._sharers.values()];
    this._numbers = new Map();
    for (const { dataCentre } of sharers) {
      this._numbers.set(dataCentre, (this._numbers.get(dataCentre) ?? 0) + 1);
    }
    this._total = sharers.length;
    this._placed = [...this._sharers].map(([box, { dataCentre }]) => ({ box, dataCentre }));
    this._numbersUntil = Math.min(...sharers.map(({ until }) => until));
  }
}
