/** Estimates the round-trip time of a connection from numbered probes. */

/** Older measurements are not used: they say nothing about the current state of the link. */
const MAXIMUM_MEASUREMENT_AGE_MILLISECONDS = 1_500;
/**
 * An outstanding probe counts as waiting only until this long after the last probe was sent. Probes are sent more
 * often than that, so a longer gap means that this process itself was paused.
 */
const MAXIMUM_PROBE_GAP_MILLISECONDS = 300;
/** Most probes that may be outstanding. The oldest one determines the estimate, so more would add nothing. */
const MAXIMUM_OUTSTANDING_PROBES = 8;

/** The round-trip time of one connection. All times are monotonic milliseconds. */
export class RoundTripEstimator {
  /** When each unanswered probe was sent, by number, the oldest first. */
  private readonly _outstanding = new Map<number, number>();
  private _nextNumber = 0;
  private _lastSentAt = 0;
  private _roundTrip = 0;
  private _measuredAt = Number.NEGATIVE_INFINITY;

  /** Whether so many probes are outstanding that no further one should be sent. */
  get isAtProbeLimit(): boolean {
    return this._outstanding.size >= MAXIMUM_OUTSTANDING_PROBES;
  }

  /** Records that a probe is sent, and returns its number. */
  recordProbe(now: number): number {
    const number = this._nextNumber++;
    this._outstanding.set(number, now);
    this._lastSentAt = now;
    return number;
  }

  /** Records the answer to a probe. Answers arrive in order, so earlier probes are no longer outstanding either. */
  recordEcho(number: number, now: number): void {
    const sentAt = this._outstanding.get(number);
    if (sentAt === undefined) return;
    for (const earlier of [...this._outstanding.keys()])
      if (earlier <= number) this._outstanding.delete(earlier);
    this._roundTrip = now - sentAt;
    this._measuredAt = now;
  }

  /**
   * Returns the last round trip if it is recent, or the time for which the oldest outstanding probe has been waiting
   * if that is longer. Returns 0 while the peer has answered no probe: its release may not support them.
   */
  estimateMilliseconds(now: number): number {
    if (this._measuredAt === Number.NEGATIVE_INFINITY) return 0;
    const measured = now - this._measuredAt < MAXIMUM_MEASUREMENT_AGE_MILLISECONDS ? this._roundTrip : 0;
    const [oldest] = this._outstanding.values();
    const waitedUntil = Math.min(now, this._lastSentAt + MAXIMUM_PROBE_GAP_MILLISECONDS);
    return Math.max(measured, oldest === undefined ? 0 : waitedUntil - oldest);
  }
}
