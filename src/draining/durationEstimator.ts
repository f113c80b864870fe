/** Estimates how long a request may take before it is started. */

/** The properties of a request on which its duration depends. */
export interface ExpectedRequest {
  service: string;
  /** Requests of one route take similar times. */
  route: string;
  /** Milliseconds until the caller gives up or the route's timeout; infinite for neither. */
  deadlineMilliseconds: number;
  /** Maximum number of tokens of the whole answer; undefined if the caller does not give it. */
  tokens: number | undefined;
  /** Number of events of the answer that have come so far. */
  eventsReceived: number;
  /** Whether the request may run again elsewhere as long as no part of its answer has been sent. */
  repeatable: boolean;
}

export interface DurationEstimator {
  /** What the estimate is based on. */
  readonly basis: 'pace' | 'durations';
  /** Upper bound of the remaining time, in milliseconds; undefined if recent requests do not show it. */
  upperBound(request: ExpectedRequest): number | undefined;
}
