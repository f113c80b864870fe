/** How much of their maximum length the streams of a service have used recently. */

interface EndedStream {
  /** Monotonic milliseconds. */
  at: number;
  /** Number of events, as a share of the maximum. */
  share: number;
  /** Whether it was sent whole. */
  isWhole: boolean;
}

const MAX_AGE_MILLISECONDS = 10_000;
const MAX_STREAMS = 256;
/** With fewer streams, the longest one says little about the next. */
const MIN_STREAMS = 16;
/** The next stream may be longer than all recent ones. */
const LENGTH_MARGIN = 2;

export class RecentLengths {
  private readonly _ended: EndedStream[] = [];

  add(stream: EndedStream): void {
    this._ended.push(stream);
    if (this._ended.length > MAX_STREAMS) this._ended.shift();
  }

  /**
   * Upper bound of the share that the next stream uses. `runningShare` is the largest share that a running stream has
   * reached.
   */
  maximumShare(now: number, runningShare: number): number {
    while (this._ended.length > 0 && now - this._ended[0].at > MAX_AGE_MILLISECONDS) this._ended.shift();
    if (this._ended.filter(({ isWhole }) => isWhole).length < MIN_STREAMS) return 1;
    const longest = Math.max(runningShare, ...this._ended.map(({ share }) => share));
    return Math.min(1, longest * LENGTH_MARGIN);
  }
}
