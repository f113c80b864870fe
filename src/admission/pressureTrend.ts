/**
 * Smooths the load of the servers of each service. Answers the load pattern in which reports show a short gap during a
 * lasting shortage: late requests would fill it before requests that could still be answered in time.
 */

/** Time constant of the mean: longer than the noise of load reports, shorter than a surge. */
const SMOOTHING_MILLISECONDS = 1_000;

interface Trend {
  mean: number;
  at: number;
}

export class PressureTrend {
  private readonly _trends = new Map<string, Trend>();

  /** Adds the pressure at `now` and returns the mean of the last second. */
  note(service: string, pressure: number, now: number): number {
    const last = this._trends.get(service) ?? { mean: pressure, at: now };
    const weight = 1 - Math.exp((last.at - now) / SMOOTHING_MILLISECONDS);
    const mean = last.mean + (pressure - last.mean) * weight;
    this._trends.set(service, { mean, at: now });
    return mean;
  }

  /** The mean of the last second before the last call of {@link PressureTrend.note}; 0 without any. */
  mean(service: string): number {
    return this._trends.get(service)?.mean ?? 0;
  }
}
