/** Counters, gauges and histograms of a gateway, in the Prometheus text format. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const QUANTILES = [50, 95, 99];
const HIGHEST_MILLISECONDS = 600_000;

/** The histogram of one metric for one service. */
interface NamedHistogram {
  name: string;
  service: string;
  histogram: Histogram;
}

export class ServingMetrics {
  private readonly _counts = new Map<string, number>();
  private readonly _histograms = new Map<string, NamedHistogram>();
  private readonly _gauges = new Map<string, () => number>();

  countRejection(service: string): void {
    this.count(`server_rejections_total{service="${service}"}`);
  }

  /** Counts a request that was refused because no server is where it may run. */
  countNotPermitted(service: string): void {
    this.count(`requests_not_permitted_total{service="${service}"}`);
  }

  countRetry(service: string): void {
    this.count(`retries_total{service="${service}"}`);
  }

  recordRequest(service: string, outcome: string, milliseconds: number): void {
    this.count(`requests_total{service="${service}",outcome="${outcome}"}`);
    this._record('request_milliseconds', service, milliseconds);
  }

  /** Records the age of the load report that was used to choose a server. */
  recordLoadAge(service: string, ageMilliseconds: number): void {
    this._record('load_age_milliseconds', service, ageMilliseconds);
  }

  /** Increments a counter; `series` is its name with labels. */
  count(series: string): void {
    this._counts.set(series, (this._counts.get(series) ?? 0) + 1);
  }

  /** Adds a gauge whose value is `read()` at the time of each scrape. */
  gauge(name: string, read: () => number): void {
    this._gauges.set(name, read);
  }

  /** Returns all metrics in the Prometheus text format. */
  exposition(): string {
    const lines = [...this._counts].map(([series, value]) => `larklatch_${series} ${value}`);
    for (const [name, read] of this._gauges) lines.push(`larklatch_${name} ${read()}`);
    for (const { name, service, histogram } of this._histograms.values()) {
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile);
        lines.push(`larklatch_${name}{service="${service}",quantile="${quantile / 100}"} ${value}`);
      }
      lines.push(`larklatch_${name}_count{service="${service}"} ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }

  private _record(name: string, service: string, milliseconds: number): void {
    const key = `${name}/${service}`;
    let named = this._histograms.get(key);
    if (!named) {
      const options = {
        highestTrackableValue: HIGHEST_MILLISECONDS,
        numberOfSignificantValueDigits: 2,
      } as const;
      named = { name, service, histogram: build(options) };
      this._histograms.set(key, named);
    }
    named.histogram.recordValue(Math.min(HIGHEST_MILLISECONDS, Math.max(0, Math.round(milliseconds))));
  }
}
