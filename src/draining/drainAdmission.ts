/** Decides whether a process that is shutting down may still start a request. */
import type { ClosingTime } from './closingTime.js';
import type { DurationEstimator, ExpectedRequest } from './durationEstimator.js';
import type { StreamPace } from './streamPace.js';

/**
 * - `admit`: the request ends before the connections are closed.
 * - `measure`: nothing shows yet how long it takes, but it can be started to find out, and be rejected before any part
 *   of its answer has been sent.
 * - `reject`: it may not end in time.
 */
export type DrainDecision = 'admit' | 'measure' | 'reject';

export interface DrainVerdict {
  decision: DrainDecision;
  /** What bounds the request's duration. */
  basis: 'deadline' | DurationEstimator['basis'] | 'unknown';
  /** Upper bound of the duration in milliseconds; infinite if unknown. */
  estimateMilliseconds: number;
  /** Milliseconds until the connections are closed; infinite if the process is not shutting down. */
  closesInMilliseconds: number;
}

export interface DrainAdmissionOptions {
  closing: ClosingTime;
  /** Asked in this order; the first one that knows the request decides. */
  estimators: readonly DurationEstimator[];
  /** Describes the streams that can be measured; undefined if none can. */
  streams: StreamPace | undefined;
}

export class DrainAdmission {
  private readonly _options: DrainAdmissionOptions;
  /** Services of which a stream is being measured. */
  private readonly _measuring = new Set<string>();

  constructor(options: DrainAdmissionOptions) {
    this._options = options;
  }

  /** The deadline bounds each request; where it is too far away, recent requests show how long this one may take. */
  decide(request: ExpectedRequest): DrainVerdict {
    const { closing, estimators } = this._options;
    const closesInMilliseconds = closing.leftMilliseconds;
    const deadline = request.deadlineMilliseconds;
    if (!closing.isSet || deadline <= closesInMilliseconds)
      return { decision: 'admit', basis: 'deadline', estimateMilliseconds: deadline, closesInMilliseconds };
    for (const estimator of estimators) {
      const estimateMilliseconds = estimator.upperBound(request);
      if (estimateMilliseconds === undefined) continue;
      const decision = estimateMilliseconds <= closesInMilliseconds ? 'admit' : 'reject';
      return { decision, basis: estimator.basis, estimateMilliseconds, closesInMilliseconds };
    }
    const decision = this._canMeasure(request) ? 'measure' : 'reject';
    return { decision, basis: 'unknown', estimateMilliseconds: deadline, closesInMilliseconds };
  }

  /**
   * Begins to measure a stream; the returned function ends that. One stream of a service is measured at a time, since
   * its result decides about the others.
   */
  beginMeasuring(service: string): () => void {
    this._measuring.add(service);
    return () => this._measuring.delete(service);
  }

  private _canMeasure(request: ExpectedRequest): boolean {
    const { streams, closing } = this._options;
    if (!streams || request.tokens === undefined || !request.repeatable || request.eventsReceived > 0)
      return false;
    return !this._measuring.has(request.service) && streams.lowerBound(request) <= closing.leftMilliseconds;
  }
}
