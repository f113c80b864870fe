/** Estimates how long a stream may take, from its maximum number of tokens and the pace of recent streams. */
import type { Clock } from '../utils/clock.js';
import type { DurationEstimator, ExpectedRequest } from './durationEstimator.js';
import type { PaceSample } from './paceSamples.js';
import { PaceSamples } from './paceSamples.js';
import { RecentLengths } from './recentLengths.js';
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
  lengths: RecentLengths;
  running: Set<{ observation: StreamObservation; tokens: number | undefined }>;
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
    const pace = this._paceOf(service);
    const observation = new StreamObservation(this._clock, {
      onSample: (sample, events) => {
        pace.samples.add(sample);
        if (tokens) pace.eventsPerToken = Math.max(pace.eventsPerToken, events / tokens);
      },
      onEnd: (isWhole) => {
        pace.running.delete(stream);
        const share = this._lengthShare(service, observation.events, tokens);
        pace.lengths.add({ at: this._clock.now(), share, isWhole });
      },
    });
    const stream = { observation, tokens };
    pace.running.add(stream);
    return observation;
  }

  upperBound(request: ExpectedRequest): number | undefined {
    const rest = this._restOf(request, (sample) => sample.firstEventMilliseconds);
    if (rest === undefined) return undefined;
    const pending = [...this._paceOf(request.service).running]
      .filter(({ observation }) => observation.events === 0)
      .map(({ observation }) => observation.firstEventMilliseconds);
    const waiting = Math.max(0, ...pending) + (this._restOf(request, () => 0) ?? 0);
    return Math.max(rest, waiting);
  }

  /** Upper bound of the time that a stream takes from its first event on, by the pace of recent ones; if there are any. */
  restAtRecentPace(request: ExpectedRequest): number | undefined {
    return this._restOf(request, () => 0);
  }

  /** Upper bound of the time from one event to the end of the stream, if events come every `pauseMilliseconds`. */
  restAtPace(request: ExpectedRequest, pauseMilliseconds: number): number {
    const events = this._eventsLeft(request);
    const rest = events * pauseMilliseconds * PACE_MARGIN;
    return Math.max(rest, this._describedMilliseconds(request.service, events)) + DELIVERY_MILLISECONDS;
  }

  /** Lower bound of the remaining time of a stream that uses its maximum of tokens, by the operator's description. */
  lowerBound({ service, tokens = 0, eventsSent }: ExpectedRequest): number {
    const { millisecondsPerToken, tokensPerEvent } = this._description(service);
    return Math.max(0, tokens - eventsSent * tokensPerEvent) * millisecondsPerToken;
  }

  /** The most time that any recent stream would have taken; `startOf` returns what counts before its first event. */
  private _restOf(request: ExpectedRequest, startOf: (sample: PaceSample) => number): number | undefined {
    const samples = this._services.get(request.service)?.samples;
    if (!samples || request.tokens === undefined) return undefined;
    const events = this._eventsLeft(request);
    const longest = samples.longest(
      events,
      this._clock.now(),
      (sample) => startOf(sample) + events * sample.pauseMilliseconds * PACE_MARGIN,
    );
    if (longest === undefined) return undefined;
    return Math.max(longest, this._describedMilliseconds(request.service, events)) + DELIVERY_MILLISECONDS;
  }

  /** Time to write the tokens of `events` events, by the operator's description. */
  private _describedMilliseconds(service: string, events: number): number {
    const { millisecondsPerToken, tokensPerEvent } = this._description(service);
    return events * tokensPerEvent * millisecondsPerToken;
  }

  private _eventsLeft({ service, tokens = Number.POSITIVE_INFINITY, eventsSent }: ExpectedRequest): number {
    const maximum = Math.ceil(tokens * this._eventsPerToken(service));
    const likely = Math.ceil(maximum * this._maximumShare(service));
    // A stream that is longer than the recent ones may use its whole maximum.
    return Math.max(0, (eventsSent < likely ? likely : maximum) - eventsSent);
  }

  private _eventsPerToken(service: string): number {
    const described = 1 / this._description(service).tokensPerEvent;
    return Math.max(described, this._services.get(service)?.eventsPerToken ?? 0);
  }

  private _maximumShare(service: string): number {
    const pace = this._services.get(service);
    if (!pace) return 1;
    const shares = [...pace.running].map(({ observation, tokens }) =>
      this._lengthShare(service, observation.events, tokens),
    );
    return pace.lengths.maximumShare(this._clock.now(), Math.max(0, ...shares));
  }

  /** Share of the maximum length that a stream has reached; 1 if its maximum is not known. */
  private _lengthShare(service: string, events: number, tokens: number | undefined): number {
    return tokens === undefined ? 1 : events / Math.ceil(tokens * this._eventsPerToken(service));
  }

  private _description(service: string): StreamDescription {
    return this._describe(service) ?? { millisecondsPerToken: 0, tokensPerEvent: 1 };
  }

  private _paceOf(service: string): ServicePace {
    let pace = this._services.get(service);
    if (!pace) {
      pace = {
        samples: new PaceSamples(),
        lengths: new RecentLengths(),
        running: new Set(),
        eventsPerToken: 0,
      };
      this._services.set(service, pace);
    }
    return pace;
  }
}
