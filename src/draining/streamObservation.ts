/** Measures the pace of one stream while it is forwarded. */
import type { Clock } from '../utils/clock.js';
import type { PaceSample } from './paceSamples.js';

export interface StreamListener {
  /** The pace so far, of `events` events. */
  onSample(sample: PaceSample, events: number): void;
  /** The stream has ended; `isWhole` tells whether it was sent to its end. */
  onEnd(isWhole: boolean): void;
}

/** The mean of fewer pauses says little about the rest of a stream. */
const MIN_PAUSES = 4;
const PAUSES_PER_REPORT = 8;

export class StreamObservation {
  private readonly _clock: Clock;
  private readonly _listener: StreamListener;
  private readonly _arrivedAt: number;
  private _firstEventAt = 0;
  private _lastEventAt = 0;
  private _events = 0;
  /** Number of events that came together with the first one. */
  private _firstEvents = 0;
  private _reportedPauses = 0;

  /** Observes the answer to a request that arrives now. */
  constructor(clock: Clock, listener: StreamListener) {
    this._clock = clock;
    this._listener = listener;
    this._arrivedAt = clock.now();
  }

  /** Number of events so far. */
  get events(): number {
    return this._events;
  }

  /** Number of pauses between events so far. */
  get pauses(): number {
    return this._events - this._firstEvents;
  }

  /** Mean milliseconds between two events so far; 0 before the second one. */
  get meanPause(): number {
    return this.pauses === 0 ? 0 : (this._lastEventAt - this._firstEventAt) / this.pauses;
  }

  /** Milliseconds for which the caller waits, or has waited, for the first event. */
  get firstEventMilliseconds(): number {
    return (this._events > 0 ? this._firstEventAt : this._clock.now()) - this._arrivedAt;
  }

  /** `count` events have come at the same time. */
  onEvents(count: number): void {
    if (count === 0) return;
    this._lastEventAt = this._clock.now();
    if (this._events === 0) {
      this._firstEventAt = this._lastEventAt;
      this._firstEvents = count;
    }
    this._events += count;
    if (this.pauses - this._reportedPauses >= PAUSES_PER_REPORT) this.report();
  }

  /** The stream has ended; `isWhole` tells whether it was sent to its end. */
  onEnd(isWhole: boolean): void {
    if (this.pauses >= MIN_PAUSES && this.pauses > this._reportedPauses) this.report();
    this._listener.onEnd(isWhole);
  }

  /** Reports the pace so far, of at least one pause. */
  report(): void {
    const { pauses, meanPause: pauseMilliseconds, firstEventMilliseconds } = this;
    this._reportedPauses = pauses;
    const sample = { at: this._lastEventAt, firstEventMilliseconds, pauseMilliseconds, pauses };
    this._listener.onSample(sample, this._events);
  }
}
