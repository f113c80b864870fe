/** Counters, gauges and latency histograms of one daemon, in the Prometheus text format. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

const QUANTILES = [0.5, 0.95, 0.99];
const HIGHEST_MILLISECONDS = 3_600_000;

/** The metrics that a daemon serves on `/metrics`. */
export class Metrics {
  private readonly _registry = new Registry();
  private readonly _counters = new Map<string, Counter>();
  private readonly _latencies = new Map<string, Histogram>();

  /** Adds `amount` to the counter `name`. All calls with the same name must have the same labels. */
  count(name: string, labels: Record<string, string> = {}, amount = 1): void {
    let counter = this._counters.get(name);
    if (!counter) {
      const options = { name: `larklatch_${name}_total`, help: name, labelNames: Object.keys(labels) };
      counter = new Counter({ ...options, registers: [this._registry] });
      this._counters.set(name, counter);
    }
    counter.inc(labels, amount);
  }

  /** Adds a gauge whose value is `read()` at the time of each scrape. */
  gauge(name: string, read: () => number): void {
    new Gauge({
      name: `larklatch_${name}`,
      help: name,
      registers: [this._registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** Records a latency in milliseconds. */
  latency(name: string, milliseconds: number): void {
    let histogram = this._latencies.get(name);
    if (!histogram) {
      histogram = build({ highestTrackableValue: HIGHEST_MILLISECONDS, numberOfSignificantValueDigits: 2 });
      this._latencies.set(name, histogram);
    }
    histogram.recordValue(Math.min(HIGHEST_MILLISECONDS, Math.max(0, Math.round(milliseconds))));
  }

  /** Returns all metrics in the Prometheus text format. */
  async exposition(): Promise<string> {
    const lines = [await this._registry.metrics()];
    for (const [name, histogram] of this._latencies) {
      lines.push(`# TYPE larklatch_${name}_milliseconds summary`);
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile * 100);
        lines.push(`larklatch_${name}_milliseconds{quantile="${quantile}"} ${value}`);
      }
      lines.push(`larklatch_${name}_milliseconds_count ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }
}
