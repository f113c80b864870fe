/** A box that serves one configuration, with its address and estimated load. */

/** A box that takes requests for one configuration. */
export interface Backend {
  box: string;
  dataCentre: string;
  address: string;
  httpPort: number;
  incarnation: string;
  /** The version in service; never empty. */
  version: string;
  rollout: string;
  capacity: number;
  load: BoxLoad;
  /** Aborted when the connection to the agent of the box is lost. */
  lost: AbortSignal;
}

/**
 * Estimates the load of a box from two sources: this entry's own count of outstanding requests, which is exact, and the
 * totals that the agent reports, which lag.
 */
export class BoxLoad {
  /** Requests sent by this entry that have not ended. */
  outstanding = 0;
  private _othersReported = 0;
  private _reportedAt = Number.NEGATIVE_INFINITY;

  /** Records the number of requests on the box, this entry's included, from an agent's report or an answer's headers. */
  report(requests: number, now: number): void {
    this._othersReported = Math.max(0, requests - this.outstanding);
    this._reportedAt = now;
  }

  /** Estimated requests on the box. The part sent by other entries decays once the last report is overdue. */
  estimate(now: number): number {
    const age = Math.max(0, now - this._reportedAt - REPORT_FRESH_MILLISECONDS);
    return this.outstanding + this._othersReported * 0.5 ** (age / REPORT_HALF_LIFE_MILLISECONDS);
  }
}

/** Agents report a few times a second; a report younger than this counts in full. */
const REPORT_FRESH_MILLISECONDS = 300;
const REPORT_HALF_LIFE_MILLISECONDS = 1_000;
