/** What recent streams of a service show about the time that a longer one would take. */

/** A stream, or the first part of one. */
export interface PaceSample {
  /** When it was taken, in monotonic milliseconds. */
  at: number;
  /** Milliseconds from the arrival of the request to its first event. */
  firstEventMilliseconds: number;
  /** Mean milliseconds between two events. */
  pauseMilliseconds: number;
  /** Number of pauses between events. */
  pauses: number;
}

const MAX_AGE_MILLISECONDS = 10_000;
const MAX_SAMPLES = 256;
/** Shorter streams are extrapolated only if there are none of this share of the length: their mean pause varies more. */
const MIN_LENGTH_SHARE = 0.5;

export class PaceSamples {
  private readonly _samples: PaceSample[] = [];

  add(sample: PaceSample): void {
    this._samples.push(sample);
    if (this._samples.length > MAX_SAMPLES) this._samples.shift();
  }

  /** The recent streams that are long enough for an estimate of `events` events; shorter ones if there are none. */
  forLength(events: number, now: number): readonly PaceSample[] {
    while (this._samples.length > 0 && now - this._samples[0].at > MAX_AGE_MILLISECONDS)
      this._samples.shift();
    const long = this._samples.filter(({ pauses }) => pauses >= events * MIN_LENGTH_SHARE);
    return long.length > 0 ? long : this._samples;
  }
}
