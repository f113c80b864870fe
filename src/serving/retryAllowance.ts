/** This entry's share of the retries that a service may get from all entries in a sliding window. */
import type { Clock } from '../utils/clock.js';

/** The bound over all entries. */
export interface RetryBound {
  /** Retries allowed per request. */
  ratio: number;
  windowMilliseconds: number;
  /** Retries allowed in a window whatever the number of requests. */
  slack: number;
}

/** Parts of the bound that are used, to leave room for what other entries count otherwise. */
const SAFETY_FACTOR = 0.85;
/**
 * Part of this entry's share that is kept for answers that have begun: their callers lose all that they have, while a new
 * request that is refused at once may come again. No day has measured it; a fifth leaves new requests most of the share.
 */
const RESERVED_FOR_BEGUN = 0.2;
const SLICES_PER_WINDOW = 20;

interface Slice {
  /** Counted from 0 at the clock's zero, in lengths of a slice. */
  index: number;
  requests: number;
  retries: number;
}

/** Counts by slices of the window. One per service. */
export class RetryAllowance {
  private readonly _bound: RetryBound;
  private readonly _clock: Clock;
  private readonly _entries: () => number;
  private readonly _usageUnknownUntil: number;
  private _slices: Slice[] = [];

  /**
   * `entries` tells how many entries share the bound now; until `forgottenUntil`, in monotonic milliseconds, a process before this
   * one may have used its share.
   */
  constructor(
    bound: RetryBound,
    clock: Clock,
    entries: () => number,
    usageUnknownUntil = Number.NEGATIVE_INFINITY,
  ) {
    this._bound = bound;
    this._clock = clock;
    this._entries = entries;
    this._usageUnknownUntil = usageUnknownUntil;
  }

  /** Counts a caller's request. */
  onRequest(): void {
    this._current().requests++;
  }

  /** Takes permission for one more arrival of a request, whose answer `hasBegun` or not; false when there is none. */
  takeRetry(hasBegun: boolean): boolean {
    const current = this._current();
    // the oldest slice lies only in part within the window: its retries count whole, its requests not at all
    const whole = this._slices.filter(({ index }) => index > current.index - SLICES_PER_WINDOW);
    const requests = whole.reduce((sum, slice) => sum + slice.requests, 0);
    const retries = this._slices.reduce((sum, slice) => sum + slice.retries, 0);
    const allowed = SAFETY_FACTOR * (this._bound.ratio * requests + this._slackShare());
    const available = hasBegun ? allowed : allowed * (1 - RESERVED_FOR_BEGUN);
    if (retries + 1 > available) return false;
    current.retries++;
    return true;
  }

  /**
   * This entry's share of the retries that are allowed whatever the requests. None for a window after a start: six entries that
   * took all they might, and were started again three times within a window, came to 1.28 of the bound (tests/retryBound.spec.ts).
   */
  private _slackShare(): number {
    if (this._clock.now() < this._usageUnknownUntil) return 0;
    return this._bound.slack / Math.max(1, this._entries());
  }

  private _current(): Slice {
    const index = Math.floor(this._clock.now() / (this._bound.windowMilliseconds / SLICES_PER_WINDOW));
    this._slices = this._slices.filter((slice) => slice.index >= index - SLICES_PER_WINDOW);
    let slice = this._slices.at(-1);
    if (slice?.index !== index) {
      slice = { index, requests: 0, retries: 0 };
      this._slices.push(slice);
    }
    return slice;
  }
}
