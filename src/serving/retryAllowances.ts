/** This entry's shares of the retries of all services, for as long as its process lives. */
import type { Clock } from '../utils/clock.js';
import type { RetryBound } from './retryAllowance.js';
import { RetryAllowance } from './retryAllowance.js';

/**
 * Windows for which an entry counts that is heard of no more. What it used is in the window for one, and behind a split it goes on
 * using its share: two halves of six entries that took the fixed part whole each came to 1.06 of the bound, with the safety that
 * is left otherwise (tests/retryBound.spec.ts).
 */
const ENTRY_COUNT_WINDOWS = 3;

export class RetryAllowances {
  private readonly _bound: RetryBound;
  private readonly _clock: Clock;
  private readonly _entries: () => number;
  private readonly _usageUnknownUntil: number;
  private readonly _byService = new Map<string, RetryAllowance>();
  /** Numbers of entries with the monotonic milliseconds until which they count, larger ones first. */
  private _entryCounts: { entries: number; until: number }[] = [];

  /** `entries` tells how many entries share the bound now; at a first start no process before this one has used anything. */
  constructor(bound: RetryBound, clock: Clock, entries: () => number, isFirstStart = false) {
    this._bound = bound;
    this._clock = clock;
    this._entries = entries;
    this._usageUnknownUntil = isFirstStart
      ? Number.NEGATIVE_INFINITY
      : clock.now() + bound.windowMilliseconds;
  }

  of(service: string): RetryAllowance {
    let allowance = this._byService.get(service);
    if (!allowance) {
      const entries = (): number => this._maxRecentEntries();
      allowance = new RetryAllowance(this._bound, this._clock, entries, this._usageUnknownUntil);
      this._byService.set(service, allowance);
    }
    return allowance;
  }

  /** The largest number of entries that has been known lately. */
  private _maxRecentEntries(): number {
    const now = this._clock.now();
    const entries = this._entries();
    const until = now + ENTRY_COUNT_WINDOWS * this._bound.windowMilliseconds;
    const larger = this._entryCounts.filter((number) => number.entries > entries && number.until > now);
    this._entryCounts = [...larger, { entries, until }];
    return this._entryCounts[0].entries;
  }
}
