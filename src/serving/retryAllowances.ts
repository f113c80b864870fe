/** Holds the retry allowance of each service, for the lifetime of the process. */
import type { Clock } from '../utils/clock.js';
import type { RetryLimit } from './retryAllowance.js';
import { RetryAllowance } from './retryAllowance.js';

/**
 * Number of windows for which an entry that has become silent still counts. Its retries stay in the current window,
 * and behind a network partition it continues to use its share: without this rule two halves of six entries, each
 * of which uses the whole slack, reach 1.06 of the limit in spite of the safety factor (tests/retryBound.spec.ts).
 */
const ENTRY_COUNT_WINDOWS = 3;

export class RetryAllowances {
  private readonly _limit: RetryLimit;
  private readonly _clock: Clock;
  private readonly _entries: () => number;
  private readonly _usageUnknownUntil: number;
  private readonly _byService = new Map<string, RetryAllowance>();
  /** Recent numbers of entries, largest first, with the monotonic milliseconds until which they count. */
  private _entryCounts: { entries: number; until: number }[] = [];

  /**
   * `entries` returns the number of entries that currently share the limit. `isFirstStart` tells that no earlier
   * process of this entry has used any retries.
   */
  constructor(limit: RetryLimit, clock: Clock, entries: () => number, isFirstStart = false) {
    this._limit = limit;
    this._clock = clock;
    this._entries = entries;
    this._usageUnknownUntil = isFirstStart
      ? Number.NEGATIVE_INFINITY
      : clock.now() + limit.windowMilliseconds;
  }

  of(service: string): RetryAllowance {
    let allowance = this._byService.get(service);
    if (!allowance) {
      const entries = (): number => this._maxRecentEntries();
      allowance = new RetryAllowance(this._limit, this._clock, entries, this._usageUnknownUntil);
      this._byService.set(service, allowance);
    }
    return allowance;
  }

  /** Returns the largest recent number of entries. */
  private _maxRecentEntries(): number {
    const now = this._clock.now();
    const entries = this._entries();
    const until = now + ENTRY_COUNT_WINDOWS * this._limit.windowMilliseconds;
    const larger = this._entryCounts.filter((count) => count.entries > entries && count.until > now);
    this._entryCounts = [...larger, { entries, until }];
    return this._entryCounts[0].entries;
  }
}
