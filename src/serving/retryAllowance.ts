/** Limits this entry's retries for a service to its share of the limit for all entries, in a sliding window. */
import type { GatewaySettings } from '../settings/gatewaySettings.js';
import type { Clock } from '../utils/clock.js';

/** Limit on the retries of all entries. */
export interface RetryLimit {
  /** Number of retries allowed per request. */
  ratio: number;
  windowMilliseconds: number;
  /** Number of retries allowed in a window independently of the number of requests. */
  slack: number;
}

const PERCENT = 100;

/** Returns the limit on retries that the settings contain. */
export function retryLimitOf(settings: GatewaySettings): RetryLimit {
  const { retryPercent, retryWindowMilliseconds, retrySlack } = settings;
  return { ratio: retryPercent / PERCENT, windowMilliseconds: retryWindowMilliseconds, slack: retrySlack };
}

/** Share of the limit that is used; the rest is a margin for differences in how entries count. */
const SAFETY_FACTOR = 0.85;
/**
 * Part of this entry's share that is reserved for answers that have begun: without a retry their callers lose a
 * partial answer, while a refused new request may simply be sent again. A fifth leaves most of the share to new
 * requests.
 */
const RESERVED_FOR_BEGUN = 0.2;
const SLICES_PER_WINDOW = 20;

interface Slice {
  /** Clock time divided by the length of a slice, rounded down. */
  index: number;
  requests: number;
  retries: number;
}

/** Counts requests and retries in slices of the window. One instance per service. */
export class RetryAllowance {
  private readonly _limit: RetryLimit;
  private readonly _clock: Clock;
  private readonly _entries: () => number;
  private readonly _usageUnknownUntil: number;
  private _slices: Slice[] = [];

  /**
   * `entries` returns the number of entries that currently share the limit. Until `usageUnknownUntil`, in monotonic
   * milliseconds, an earlier process of this entry may have used its share.
   */
  constructor(
    limit: RetryLimit,
    clock: Clock,
    entries: () => number,
    usageUnknownUntil = Number.NEGATIVE_INFINITY,
  ) {
    this._limit = limit;
    this._clock = clock;
    this._entries = entries;
    this._usageUnknownUntil = usageUnknownUntil;
  }

  /** Counts a caller's request. */
  onRequest(): void {
    this._current().requests++;
  }

  /** Takes permission for a retry; false when it is denied. `hasBegun` tells whether the answer has begun. */
  takeRetry(hasBegun: boolean): boolean {
    const current = this._current();
    // The oldest slice is only partly within the window: all of its retries count, and none of its requests.
    const whole = this._slices.filter(({ index }) => index > current.index - SLICES_PER_WINDOW);
    const requests = whole.reduce((sum, slice) => sum + slice.requests, 0);
    const retries = this._slices.reduce((sum, slice) => sum + slice.retries, 0);
    const allowed = SAFETY_FACTOR * (this._limit.ratio * requests + this._slackShare());
    const available = hasBegun ? allowed : allowed * (1 - RESERVED_FOR_BEGUN);
    if (retries + 1 > available) return false;
    current.retries++;
    return true;
  }

  /**
   * This entry's share of the slack. There is none during the first window after a restart, since the previous
   * process may have used it: without this rule six entries that use all permitted retries, and restart three times
   * within a window, reach 1.28 of the limit (tests/retryBound.spec.ts).
   */
  private _slackShare(): number {
    if (this._clock.now() < this._usageUnknownUntil) return 0;
    return this._limit.slack / Math.max(1, this._entries());
  }

  private _current(): Slice {
    const index = Math.floor(this._clock.now() / (this._limit.windowMilliseconds / SLICES_PER_WINDOW));
    this._slices = this._slices.filter((slice) => slice.index >= index - SLICES_PER_WINDOW);
    let slice = this._slices.at(-1);
    if (slice?.index !== index) {
      slice = { index, requests: 0, retries: 0 };
      this._slices.push(slice);
    }
    return slice;
  }
}
