/** Decides when the list of entries is complete enough to divide the rate of a cold server. */
import type { Clock } from '../utils/clock.js';

/**
 * Entries that start together connect to the agents within about a second. A list that gains no entry for this long
 * contains most entries that have started; a longer time would leave the rate of cold servers unused after a loss of
 * power.
 */
const UNCHANGED_MILLISECONDS = 300;
/** A list that keeps growing, such as when entries are added one by one, is used after this time. */
const MAX_SETTLING_MILLISECONDS = 3_000;

/**
 * The first lists of an entry that starts lack entries that are still connecting. If each of many entries divided the
 * rate by its incomplete list, together they would exceed it. Once settled, a list stays so: later changes arrive at
 * entries that hold shares already, and only move shares between them.
 */
export class SettledEntries {
  private readonly _clock: Clock;
  private readonly _seen = new Set<string>();
  /** Monotonic milliseconds of the first list; undefined before it. */
  private _firstAt: number | undefined;
  /** Monotonic milliseconds at which an entry was listed for the first time. */
  private _grewAt = 0;
  private _isSettled = false;

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Whether the list may be used. */
  get isSettled(): boolean {
    if (this._isSettled || this._firstAt === undefined) return this._isSettled;
    const now = this._clock.now();
    this._isSettled =
      now - this._grewAt >= UNCHANGED_MILLISECONDS || now - this._firstAt >= MAX_SETTLING_MILLISECONDS;
    return this._isSettled;
  }

  /** Records a list of entries. */
  noteList(entries: readonly { box: string }[]): void {
    if (this.isSettled) return;
    const now = this._clock.now();
    this._firstAt ??= now;
    for (const { box } of entries) {
      if (this._seen.has(box)) continue;
      this._seen.add(box);
      this._grewAt = now;
    }
  }
}
