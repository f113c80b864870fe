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
    const events = this._eventsLeft(request);
    const samples = this._samplesFor(request, events);
    if (samples.length === 0) return undefined;
    const waits = [...this._paceOf(request.service).running]
      .filter(({ observation }) => observation.events === 0)
      .map(({ observation }) => observation.firstEventMilliseconds);
    const longestWait = Math.max(0, ...waits);
    const bounds = samples.map(
      ({ firstEventMilliseconds, pauseMilliseconds }) =>
        Math.max(firstEventMilliseconds, longestWait) +
        this._rest(request.service, events, pauseMilliseconds),
    );
    return Math.max(...bounds);
  }

  /**
   * Lower bound of the time from the first event to the end of a stream of the length that {@link StreamPace.upperBound}
   * assumes: at the pace of the fastest recent stream, or of the operator's description.
   */
  shortestRest(request: ExpectedRequest): number {
    const events = this._eventsLeft(request);
    const pauses = this._samplesFor(request, events).map(({ pauseMilliseconds }) => pauseMilliseconds);
    if (pauses.length === 0) return this.lowerBound(request);
    return this._rest(request.service, events, Math.min(...pauses));
  }

  /** Upper bound of the time from one event to the end of the stream, if events come every `pauseMilliseconds`. */
  restAtPace(request: ExpectedRequest, pauseMilliseconds: number): number {
    return this._rest(request.service, this._eventsLeft(request), pauseMilliseconds);
  }

  /** Lower bound of the remaining time of a stream that uses its maximum of tokens, by the operator's description. */
  lowerBound({ service, tokens = 0, eventsReceived }: ExpectedRequest): number {
    const { millisecondsPerToken, tokensPerEvent } = this._description(service);
    return Math.max(0, tokens - eventsReceived * tokensPerEvent) * millisecondsPerToken;
  }

  /** The recent streams that show how long `events` events may take; none if the request's length is not known. */
  private _samplesFor({ service, tokens }: ExpectedRequest, events: number): readonly PaceSample[] {
    const samples = this._services.get(service)?.samples;
    if (!samples || tokens === undefined) return [];
    return samples.forLength(events, this._clock.now());
  }

  /** Upper bound of the time that `events` events take, which is no shorter than the operator's description says. */
  private _rest(service: string, events: number, pauseMilliseconds: number): number {
    const { millisecondsPerToken, tokensPerEvent } = this._description(service);
    const described = millisecondsPerToken * tokensPerEvent;
    return events * Math.max(pauseMilliseconds * PACE_MARGIN, described) + DELIVERY_MILLISECONDS;
  }

  private _eventsLeft({
    service,
    tokens = Number.POSITIVE_INFINITY,
    eventsReceived,
  }: ExpectedRequest): number {
    const maximum = Math.ceil(tokens * this._eventsPerToken(service));
    const likely = Math.ceil(maximum * this._maximumShare(service));
    // A stream that is longer than the recent ones may use its whole maximum.
    return Math.max(0, (eventsReceived < likely ? likely : maximum) - eventsReceived);
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
