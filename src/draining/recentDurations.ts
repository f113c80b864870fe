/** Estimates how long a request may take from the durations of recent requests of the same route. */
import type { Clock } from '../utils/clock.js';
import type { DurationEstimator, ExpectedRequest } from './durationEstimator.js';
import { RecentSpans } from './recentSpans.js';

const INTERVAL_MILLISECONDS = 15_000;
/** With fewer requests, the longest one says little about the next. */
const MIN_COUNT = 5;
/** Durations have long tails: the next request may take longer than all recent ones. */
const DURATION_MARGIN = 2;
const DELIVERY_MILLISECONDS = 50;

export class RecentDurations implements DurationEstimator {
  readonly basis = 'durations';
  private readonly _clock: Clock;
  private readonly _routes = new Map<string, RecentSpans>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  /** A request begins. The returned function ends it; `isMeasured` tells whether it ran for as long as it needed. */
  begin({ service, route }: Pick<ExpectedRequest, 'service' | 'route'>): (isMeasured: boolean) => void {
    const key = keyOf(service, route);
    const spans = this._routes.get(key) ?? new RecentSpans(INTERVAL_MILLISECONDS);
    this._routes.set(key, spans);
    const end = spans.begin(this._clock.now());
    return (isMeasured) => end(this._clock.now(), isMeasured);
  }

  /** Undefined for a request that names its tokens, since others of its route may be much shorter. */
  upperBound({ service, route, tokens }: ExpectedRequest): number | undefined {
    const longest = this._routes.get(keyOf(service, route))?.longest(this._clock.now(), MIN_COUNT);
    if (longest === undefined || tokens !== undefined) return undefined;
    return longest * DURATION_MARGIN + DELIVERY_MILLISECONDS;
  }
}

function keyOf(service: string, route: string): string {
  return `${service}/${route}`;
}
