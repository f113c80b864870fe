/**
 * Learns the deadline that callers of a route give their first attempts. Answers the load pattern in which rejected
 * callers retry: a retry has the same deadline as its first attempt, less the time that has passed.
 */

/** Number of requests that are remembered. At 2 requests a second, a surge of retries fills less than half of it. */
const SAMPLES = 48;
/** With fewer samples, one absurd value among some retries could be taken for the usual deadline. */
const MIN_SAMPLES = 5;
/** With up to half retries, which have shorter deadlines, the third quartile is the median of the first attempts. */
const QUARTILE = 0.75;
/** Deadlines of first attempts differ by some tens of milliseconds. */
const CLUSTER_MILLISECONDS = 100;
/**
 * Minimum share of the samples within {@link CLUSTER_MILLISECONDS} of the usual deadline. Retries spread over a second,
 * and where callers choose their deadlines freely, there is no usual one.
 */
const MIN_CLUSTER_SHARE = 0.25;

export class UsualDeadline {
  private readonly _samples: number[] = [];
  private _next = 0;

  /** Adds the deadline of a request. */
  note(milliseconds: number): void {
    this._samples[this._next] = milliseconds;
    this._next = (this._next + 1) % SAMPLES;
  }

  /** The usual deadline of first attempts; undefined while it is not known. */
  get milliseconds(): number | undefined {
    if (this._samples.length < MIN_SAMPLES) return undefined;
    const sorted = [...this._samples].sort((a, b) => a - b);
    const usual = sorted[Math.floor((sorted.length - 1) * QUARTILE)];
    const near = sorted.filter((value) => Math.abs(value - usual) <= CLUSTER_MILLISECONDS);
    return near.length >= sorted.length * MIN_CLUSTER_SHARE ? usual : undefined;
  }
}
