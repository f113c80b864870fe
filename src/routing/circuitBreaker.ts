/** Circuit breaker of a box: opens for a while after repeated failures, then lets requests through again. */
import type { Clock } from '../utils/clock.js';

const FAILURE_THRESHOLD = 3;
const MIN_OPEN_MILLISECONDS = 500;
const MAX_OPEN_MILLISECONDS = 10_000;

/** Opens after consecutive failures and stays open longer each time. One instance per box. */
export class CircuitBreaker {
  private readonly _clock: Clock;
  private _failures = 0;
  private _openUntil = 0;
  private _openMilliseconds = MIN_OPEN_MILLISECONDS;

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Whether a request may be sent to the box. */
  get allowsRequests(): boolean {
    return this._clock.now() >= this._openUntil;
  }

  recordSuccess(): void {
    this._failures = 0;
    this._openMilliseconds = MIN_OPEN_MILLISECONDS;
  }

  /**
   * Counts a failure. Opens the circuit at the threshold, and again at each further failure after that; the open time
   * doubles up to a maximum.
   */
  recordFailure(): void {
    this._failures++;
    if (this._failures < FAILURE_THRESHOLD) return;
    this._openUntil = this._clock.now() + this._openMilliseconds;
    this._openMilliseconds = Math.min(MAX_OPEN_MILLISECONDS, this._openMilliseconds * 2);
  }
}
