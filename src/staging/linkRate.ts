/** Whether the link of a box is narrow, by how fast chunks come while several are on their way. */

/** Part of the rate below which a link counts as narrow, and the time after which that can be told. */
const NARROW_SHARE = 0.38;
const LEAST_MEASURED_MILLISECONDS = 1_000;
/** Fetches on their way at the same time by which a link can be judged: a single one tells of its sender as much. */
const LEAST_FETCHES = 2;
/** Time under way after which what came counts half, so that a link shows soon that becomes narrow, or well again. */
const HALF_LIFE_MILLISECONDS = 1_000;
/** A link that was narrow while chunks came is taken to stay so for a while: squeezes of the users' bench last for 5 to 7 s. */
const STILL_NARROW_MILLISECONDS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** One version's way to a box; times are monotonic milliseconds. */
export class LinkRate {
  private readonly _bytesPerMillisecond: number;
  private _notedAt: number;
  private _receivedBytes = 0;
  /** Milliseconds with fetches on their way, and the bytes that came in them, the older the less. */
  private _recentMilliseconds = 0;
  private _recentBytes = 0;
  private _measuredMilliseconds = 0;
  private _completedAt = Number.POSITIVE_INFINITY;

  /** `bytesPerSecond` is what the box may take of chunks. */
  constructor(bytesPerSecond: number, startedAt: number) {
    this._bytesPerMillisecond = bytesPerSecond / MILLISECONDS_PER_SECOND;
    this._notedAt = startedAt;
  }

  /**
   * Notes how much has come by now, and how many fetches are on their way. Time in which there was nothing to fetch says nothing
   * of the link: while an origin was dark, every box took its own link for narrow.
   */
  note(now: number, receivedBytes: number, fetches: number): void {
    const elapsed = now - this._notedAt;
    const bytes = receivedBytes - this._receivedBytes;
    this._notedAt = now;
    this._receivedBytes = receivedBytes;
    if (fetches < LEAST_FETCHES) return;
    const kept = 0.5 ** (elapsed / HALF_LIFE_MILLISECONDS);
    this._recentMilliseconds = this._recentMilliseconds * kept + elapsed;
    this._recentBytes = this._recentBytes * kept + bytes;
    this._measuredMilliseconds += elapsed;
  }

  /** Notes that everything is here. */
  complete(now: number): void {
    this._completedAt = Math.min(this._completedAt, now);
  }

  /** Whether chunks come much more slowly than the box may take them, or came so until a moment ago. */
  isSlow(now: number): boolean {
    if (now - this._completedAt > STILL_NARROW_MILLISECONDS) return false;
    if (this._measuredMilliseconds < LEAST_MEASURED_MILLISECONDS) return false;
    return this._recentBytes < this._bytesPerMillisecond * this._recentMilliseconds * NARROW_SHARE;
  }
}
