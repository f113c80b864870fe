/** Tracks the recent answers and failures of a backend server. */
import type { Clock } from '../utils/clock.js';

/**
 * Outcome of one attempt. `displaced`: the answer says that the request was meant for another server, or for another
 * version of the model.
 */
export type AttemptOutcome = 'succeeded' | 'failed' | 'rejected' | 'displaced' | 'silent';

/** Half-life of the attempt counts and of the measured time. */
const HALF_LIFE_MILLISECONDS = 2_500;
/** Successful attempts assumed for every server, so that one failure does not dominate the rate. */
const PRIOR_SUCCESSES = 4;
/** Weight of the newest measurement in the moving average. */
const NEWEST_WEIGHT = 0.3;
const REJECTION_WEIGHT = 0.5;
const SILENCE_WEIGHT = 3;
/** How long to avoid the server after each kind of failure. */
const REJECTED_AVOID_MILLISECONDS = 150;
const SILENT_AVOID_MILLISECONDS = 1_000;
const DISPLACED_AVOID_MILLISECONDS = 1_500;
const UNREACHABLE_AVOID_MILLISECONDS = 700;
/** Consecutive failures after which a server is considered failing; a healthy server has only single failures. */
const MIN_CONSECUTIVE_FAILURES = 2;
/**
 * Backoff after `MIN_CONSECUTIVE_FAILURES`; each further failure doubles it up to the maximum. After the backoff, one
 * request at a time is sent to the server. Without it, a server that reset every connection for 6 s received 248 of
 * 1,500 requests while the others were full.
 */
const FAILED_BACKOFF_MILLISECONDS = 500;
const MAX_FAILED_BACKOFF_MILLISECONDS = 2_000;

/** Keeps exponentially decaying counts of attempts. One instance per backend server. */
export class ServerHealth {
  private readonly _clock: Clock;
  private _successes = 0;
  private _failures = 0;
  private _consecutiveFailures = 0;
  private _decayedAt: number;
  private _avoidedUntil = 0;
  private _firstByte = 0;
  private _firstByteAt = 0;

  constructor(clock: Clock) {
    this._clock = clock;
    this._decayedAt = clock.now();
  }

  /** Share of recent attempts that failed, from 0 to 1. */
  get failureRate(): number {
    this._decay();
    return this._failures / (this._failures + this._successes + PRIOR_SUCCESSES);
  }

  /** Recent time to the first byte in milliseconds; decays over time, so that the server is retried. */
  get firstByteMilliseconds(): number {
    const age = this._clock.now() - this._firstByteAt;
    return this._firstByte * 0.5 ** (age / HALF_LIFE_MILLISECONDS);
  }

  /** Records the time that an attempt waited for its first byte. */
  noteFirstByte(milliseconds: number): void {
    this._firstByte += (milliseconds - this._firstByte) * NEWEST_WEIGHT;
    this._firstByteAt = this._clock.now();
  }

  /** Whether to avoid the server for now. */
  get avoided(): boolean {
    return this._clock.now() < this._avoidedUntil;
  }

  /** Whether it fails repeatedly and must not be retried yet, given its `outstanding` requests from this process. */
  failing(outstanding: number): boolean {
    return this._consecutiveFailures >= MIN_CONSECUTIVE_FAILURES && (this.avoided || outstanding > 0);
  }

  noteOutcome(outcome: AttemptOutcome): void {
    this._decay();
    if (outcome === 'succeeded') {
      this._successes++;
      this._consecutiveFailures = 0;
    } else if (outcome === 'failed') this._noteFailure();
    else if (outcome === 'rejected') {
      this._failures += REJECTION_WEIGHT;
      this._avoid(REJECTED_AVOID_MILLISECONDS);
    } else if (outcome === 'displaced') this._avoid(DISPLACED_AVOID_MILLISECONDS);
    else {
      this._failures += SILENCE_WEIGHT;
      this._consecutiveFailures++;
      this._avoid(SILENT_AVOID_MILLISECONDS);
    }
  }

  /** Records that no connection could be opened. */
  noteUnreachable(): void {
    this._decay();
    this._noteFailure();
    this._avoid(UNREACHABLE_AVOID_MILLISECONDS);
  }

  private _noteFailure(): void {
    this._failures++;
    this._consecutiveFailures++;
    const doublings = this._consecutiveFailures - MIN_CONSECUTIVE_FAILURES;
    if (doublings < 0) return;
    this._avoid(Math.min(FAILED_BACKOFF_MILLISECONDS * 2 ** doublings, MAX_FAILED_BACKOFF_MILLISECONDS));
  }

  private _avoid(milliseconds: number): void {
    this._avoidedUntil = Math.max(this._avoidedUntil, this._clock.now() + milliseconds);
  }

  private _decay(): void {
    const now = this._clock.now();
    const factor = 0.5 ** ((now - this._decayedAt) / HALF_LIFE_MILLISECONDS);
    this._successes *= factor;
    this._failures *= factor;
    this._decayedAt = now;
  }
}
