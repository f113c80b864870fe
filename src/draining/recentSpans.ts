/** The longest of the spans of time that ended recently or are still running. */
import { RecentMaximum } from './recentMaximum.js';

export class RecentSpans {
  private readonly _ended: RecentMaximum;
  /** Start of each running span in monotonic milliseconds, the oldest first. */
  private readonly _running = new Set<{ startedAt: number }>();

  constructor(intervalMilliseconds: number) {
    this._ended = new RecentMaximum(intervalMilliseconds);
  }

  /** Begins a span at `startedAt`. The returned function ends it; `counts` tells whether its length is of interest. */
  begin(startedAt: number): (endedAt: number, counts: boolean) => void {
    const span = { startedAt };
    this._running.add(span);
    return (endedAt, counts) => {
      if (this._running.delete(span) && counts) this._ended.add(endedAt - startedAt, endedAt);
    };
  }

  /** Milliseconds; undefined if fewer than `minimumCount` spans have ended recently. */
  longest(now: number, minimumCount = 1): number | undefined {
    const ended = this._ended.at(now, minimumCount);
    if (ended === undefined) return undefined;
    const [oldest] = this._running;
    return oldest === undefined ? ended : Math.max(ended, now - oldest.startedAt);
  }
}
