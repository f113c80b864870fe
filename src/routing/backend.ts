/** One box as the router sees it for one configuration. */

/** Load and place of a box. `outstanding` is this entry's own count, and exact; the reported figures lag. */
export interface Backend {
  box: string;
  dataCentre: string;
  address: string;
  httpPort: number;
  incarnation: string;
  /** The version in service, '' never. */
  version: string;
  rollout: string;
  capacity: number;
  load: BoxLoad;
  /** Aborted when the box is lost. */
  lost: AbortSignal;
}

/** What an entry knows of a box's load, kept across reports. */
export class BoxLoad {
  /** Requests that this entry has sent and that have not ended. */
  outstanding = 0;
  private _othersReported = 0;
  private _reportedAt = Number.NEGATIVE_INFINITY;

  /** Takes a report or the load that came with an answer: requests on the box, this entry's included. */
  report(requests: number, now: number): void {
    this._othersReported = Math.max(0, requests - this.outstanding);
    this._reportedAt = now;
  }

  /** Requests on the box; what others sent counts less once the report is older than reports usually are. */
  estimate(now: number): number {
    const age = Math.max(0, now - this._reportedAt - REPORT_FRESH_MILLISECONDS);
    return this.outstanding + this._othersReported * 0.5 ** (age / REPORT_HALF_LIFE_MILLISECONDS);
  }
}

/** Reports come a few times a second; until then what others sent is taken to stay as it is. */
const REPORT_FRESH_MILLISECONDS = 300;
const REPORT_HALF_LIFE_MILLISECONDS = 1_000;
