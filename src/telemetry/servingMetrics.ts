/** Counters and latency histograms of a gateway. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const QUANTILES = [50, 95, 99];
const HIGHEST_MILLISECONDS = 600_000;

export class ServingMetrics {
  private readonly _counts = new Map<string, number>();
  private readonly _latencies = new Map<string, Histogram>();
  private readonly _gauges = new Map<string, () => number>();

  rejected(service: string): void {
    this.count(`server_rejections_total{service="${service}"}`);
  }

  retried(service: string): void {
    this.count(`retries_total{service="${service}"}`);
  }

  requestEnded(service: string, outcome: string, milliseconds: number): void {
    this.count(`requests_total{service="${service}",outcome="${outcome}"}`);
    this._latency(service).recordValue(Math.min(HIGHEST_MILLISECONDS, Math.max(0, Math.round(milliseconds))));
  }

  /** Adds one to a counter; `series` is its name with labels. */
  count(series: string): void {
    this._counts.set(series, (this._counts.get(series) ?? 0) + 1);
  }

  /** Shows the result of `read` under `name`. */
  gauge(name: string, read: () => number): void {
    this._gauges.set(name, read);
  }

  /** All figures in Prometheus text. */
  exposition(): string {
    const lines = [...this._counts].map(([series, value]) => `larklatch_${series} ${value}`);
    for (const [name, read] of this._gauges) lines.push(`larklatch_${name} ${read()}`);
    for (const [service, histogram] of this._latencies) {
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile);
        lines.push(
          `larklatch_request_milliseconds{service="${service}",quantile="${quantile / 100}"} ${value}`,
        );
      }
      lines.push(`larklatch_request_milliseconds_count{service="${service}"} ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }

  private _latency(service: string): Histogram {
    let histogram = this._latencies.get(service);
    if (!histogram) {
      histogram = build({ highestTrackableValue: HIGHEST_MILLISECONDS, numberOfSignificantValueDigits: 2 });
      this._latencies.set(service, histogram);
    }
    return histogram;
  }
}
