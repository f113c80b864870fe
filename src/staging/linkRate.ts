/** Detects a slow link of a box by the rate at which chunks arrive while several fetches are running. */

/** Share of the allowed rate below which a link counts as slow. */
const SLOW_SHARE = 0.38;
/** Shortest time of measurement before a link may count as slow. */
const MIN_MEASURED_MILLISECONDS = 1_000;
/**
 * Fewest concurrent fetches that are measured. The rate of a single fetch says as much about its sender as about
 * the link.
 */
const MIN_FETCHES = 2;
/** Half-life of the weight of received bytes, so that a link that becomes slow or fast again is detected soon. */
const HALF_LIFE_MILLISECONDS = 1_000;
/**
 * How long a link that was slow still counts as slow after the last chunk. A throttled link stays slow for 5 to 7 s at a
 * time.
 */
const STILL_SLOW_MILLISECONDS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Measures the rate at which one version arrives at a box. Times are monotonic milliseconds. */
export class LinkRate {
  private readonly _bytesPerMillisecond: number;
  private _recordedAt: number;
  private _receivedBytes = 0;
  /** Time with running fetches and the bytes received in it, both with exponential decay. */
  private _recentMilliseconds = 0;
  private _recentBytes = 0;
  private _measuredMilliseconds = 0;
  private _completedAt = Number.POSITIVE_INFINITY;

  /** `bytesPerSecond` is the rate at which the box may receive chunks. */
  constructor(bytesPerSecond: number, startedAt: number) {
    this._bytesPerMillisecond = bytesPerSecond / MILLISECONDS_PER_SECOND;
    this._recordedAt = startedAt;
  }

  /**
   * Records the bytes received so far and the number of running fetches. Time without anything to fetch is left out:
   * counting it made every box report a slow link while the origin was down.
   */
  record(now: number, receivedBytes: number, fetches: number): void {
    const elapsed = now - this._recordedAt;
    const bytes = receivedBytes - this._receivedBytes;
    this._recordedAt = now;
    this._receivedBytes = receivedBytes;
    if (fetches < MIN_FETCHES) return;
    const kept = 0.5 ** (elapsed / HALF_LIFE_MILLISECONDS);
    this._recentMilliseconds = this._recentMilliseconds * kept + elapsed;
    this._recentBytes = this._recentBytes * kept + bytes;
    this._measuredMilliseconds += elapsed;
  }

  /** Records that the version is complete. */
  complete(now: number): void {
    this._completedAt = Math.min(this._completedAt, now);
  }

  /** Whether chunks arrive much more slowly than the box may receive them, or did until a moment ago. */
  isSlow(now: number): boolean {
    if (now - this._completedAt > STILL_SLOW_MILLISECONDS) return false;
    if (this._measuredMilliseconds < MIN_MEASURED_MILLISECONDS) return false;
    return this._recentBytes < this._bytesPerMillisecond * this._recentMilliseconds * SLOW_SHARE;
  }
}
