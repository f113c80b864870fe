/** How long a message and its answer take on a connection, by numbered probes. */

/** A round trip that was measured longer ago says nothing of the link now. */
const MAXIMUM_MEASUREMENT_AGE_MILLISECONDS = 1_500;
/** Longest time since the last probe that counts: probes come more often, and a process that was paused has sent none meanwhile. */
const MAXIMUM_PROBE_GAP_MILLISECONDS = 300;
/** Probes that are waited for; more say nothing that the oldest does not say. */
const MAXIMUM_OUTSTANDING_PROBES = 8;

/** Monotonic milliseconds throughout. One per connection. */
export class RoundTripEstimator {
  /** When each unanswered probe was sent, by its number, the oldest first. */
  private readonly _outstanding = new Map<number, number>();
  private _nextNumber = 0;
  private _lastSentAt = 0;
  private _roundTrip = 0;
  private _measuredAt = Number.NEGATIVE_INFINITY;

  /** Whether so many probes wait for their answers that another one would say nothing. */
  get isAtProbeLimit(): boolean {
    return this._outstanding.size >= MAXIMUM_OUTSTANDING_PROBES;
  }

  /** Notes that a probe is sent; returns its number. */
  recordProbe(now: number): number {
    const number = this._nextNumber++;
    this._outstanding.set(number, now);
    this._lastSentAt = now;
    return number;
  }

  /** Notes the answer to a probe. Answers come in the order of the probes. */
  recordEcho(number: number, now: number): void {
    const sentAt = this._outstanding.get(number);
    if (sentAt === undefined) return;
    for (const earlier of [...this._outstanding.keys()])
      if (earlier <= number) this._outstanding.delete(earlier);
    this._roundTrip = now - sentAt;
    this._measuredAt = now;
  }

  /**
   * The last round trip if it is fresh, or the time for which a probe has been waiting if that is longer. 0 for a peer that
   * has answered no probe yet: it may be of a version that knows none.
   */
  estimateMilliseconds(now: number): number {
    if (this._measuredAt === Number.NEGATIVE_INFINITY) return 0;
    const measured = now - this._measuredAt < MAXIMUM_MEASUREMENT_AGE_MILLISECONDS ? this._roundTrip : 0;
    const [oldest] = this._outstanding.values();
    const waitedUntil = Math.min(now, this._lastSentAt + MAXIMUM_PROBE_GAP_MILLISECONDS);
    return Math.max(measured, oldest === undefined ? 0 : waitedUntil - oldest);
  }
}
