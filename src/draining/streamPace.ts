/** Estimates how long a stream may take, from its maximum number of tokens and the pace of recent streams. */
import type { Clock } from '../utils/clock.js';
import type { DurationEstimator, ExpectedRequest } from './durationEstimator.js';
import { PaceSamples } from './paceSamples.js';
import { StreamObservation } from './streamObservation.js';

/** How the operator describes the streams of a service. */
export interface StreamDescription {
  /** Time to write one token while nothing else runs. */
  millisecondsPerToken: number;
  /** Number of tokens in an event. */
  tokensPerEvent: number;
}

/** What the streams of a service have shown. */
interface ServicePace {
  samples: PaceSamples;
  /** Largest number of events for one token of the maximum that the caller gave. */
  eventsPerToken: number;
}

/** A stream may become slower than the slowest recent one while more requests run beside it. */
const PACE_MARGIN = 1.05;
/** Time to forward the last event and the end of the answer. */
const DELIVERY_MILLISECONDS = 50;

export class StreamPace implements DurationEstimator {
  readonly basis = 'pace';
  private readonly _clock: Clock;
  private readonly _describe: (service: string) => StreamDescription | undefined;
  private readonly _services = new Map<string, ServicePace>();

  /** `describe` returns the operator's description of a service, if there is one. */
  constructor(clock: Clock, describe: (service: string) => StreamDescription | undefined) {
    this._clock = clock;
    this._describe = describe;
  }

  /** Observes the answer to a request that has just arrived. */
  observe(service: string, tokens: number | undefined): StreamObservation {
    return new StreamObservation(this._clock, (sample, events) => {
      const pace = this._paceOf(service);
      pace.samples.add(sample);
      if (tokens) pace.eventsPerToken = Math.max(pace.eventsPerToken, events / tokens);
    });
  }

  upperBound(request: ExpectedRequest): number | undefined {
    const samples = this._services.get(request.service)?.samples;
    if (!samples || request.tokens === undefined) return undefined;
    const longest = samples.longest(this._eventsLeft(request), this._clock.now(), PACE_MARGIN);
    return longest && Math.max(longest, this.lowerBound(request)) + DELIVERY_MILLISECONDS;
  }

  /** Upper bound of the time from one event to the end of the stream, if events come every `pauseMilliseconds`. */
  restAtPace(request: ExpectedRequest, pauseMilliseconds: number): number {
    const rest = this._eventsLeft(request) * pauseMilliseconds * PACE_MARGIN;
    return Math.max(rest, this.lowerBound(request)) + DELIVERY_MILLISECONDS;
  }

  /** Lower bound of the remaining time of a stream that uses its maximum of tokens, by the operator's description. */
  lowerBound({ service, tokens = 0, eventsSent }: ExpectedRequest): number {
    const { millisecondsPerToken, tokensPerEvent } = this._description(service);
    return Math.max(0, tokens - eventsSent * tokensPerEvent) * millisecondsPerToken;
  }

  private _eventsLeft({ service, tokens = Number.POSITIVE_INFINITY, eventsSent }: ExpectedRequest): number {
    const described = 1 / this._description(service).tokensPerEvent;
    const eventsPerToken = Math.max(described, this._services.get(service)?.eventsPerToken ?? 0);
    return Math.max(0, Math.ceil(tokens * eventsPerToken) - eventsSent);
  }

  private _description(service: string): StreamDescription {
    return this._describe(service) ?? { millisecondsPerToken: 0, tokensPerEvent: 1 };
  }

  private _paceOf(service: string): ServicePace {
    let pace = this._services.get(service);
    if (!pace) {
      pace = { samples: new PaceSamples(), eventsPerToken: 0 };
      this._services.set(service, pace);
    }
    return pace;
  }
}
