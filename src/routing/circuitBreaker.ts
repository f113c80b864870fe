/** Keeps work from a box that fails: closed, open for a while, then one request to try. */
import type { Clock } from '../utils/clock.js';

const FAILURE_THRESHOLD = 3;
const MIN_OPEN_MILLISECONDS = 500;
const MAX_OPEN_MILLISECONDS = 10_000;

/** One per box. */
export class CircuitBreaker {
  private readonly _clock: Clock;
  private _failures = 0;
  private _openUntil = 0;
  private _openMilliseconds = MIN_OPEN_MILLISECONDS;

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** Whether a request may be sent. */
  get allowsRequests(): boolean {
    return this._clock.now() >= this._openUntil;
  }

  recordSuccess(): void {
    this._failures = 0;
    this._openMilliseconds = MIN_OPEN_MILLISECONDS;
  }

  /** Counts a failure; after a few, and at once when the trial fails, the circuit opens for longer each time. */
  recordFailure(): void {
    this._failures++;
    if (this._failures < FAILURE_THRESHOLD) return;
    this._openUntil = this._clock.now() + this._openMilliseconds;
    this._openMilliseconds = Math.min(MAX_OPEN_MILLISECONDS, this._openMilliseconds * 2);
  }
}
