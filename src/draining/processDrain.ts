/** The planned stop of a process whose requests do not tell how long their answers are. */
import type { Clock } from '../utils/clock.js';
import { ClosingTime } from './closingTime.js';
import { DrainAdmission } from './drainAdmission.js';
import type { DrainVerdict } from './drainAdmission.js';
import { RecentDurations } from './recentDurations.js';

/** A request by what its duration depends on. */
export interface DrainedRequest {
  service: string;
  /** Requests of one kind take similar times. */
  kind: string;
}

export class ProcessDrain {
  private readonly _closing: ClosingTime;
  private readonly _durations: RecentDurations;
  private readonly _admission: DrainAdmission;

  constructor(clock: Clock) {
    this._closing = new ClosingTime(clock);
    this._durations = new RecentDurations(clock);
    const estimators = [this._durations];
    this._admission = new DrainAdmission({ closing: this._closing, estimators, streams: undefined });
  }

  get isLeaving(): boolean {
    return this._closing.isSet;
  }

  /** Milliseconds until the connections are closed; infinite while the process is not leaving. */
  get closesInMilliseconds(): number {
    return this._closing.leftMilliseconds;
  }

  /** Begins the stop: connections are closed after `milliseconds`. */
  closeIn(milliseconds: number): void {
    this._closing.closeIn(milliseconds);
  }

  /** A request begins. The returned function ends it; `isMeasured` tells whether it ran for as long as it needed. */
  begin({ service, kind }: DrainedRequest): (isMeasured: boolean) => void {
    return this._durations.begin({ service, route: kind });
  }

  /** Whether a request may start. `deadlineMilliseconds` is the time until its deadline, undefined for none. */
  decide({ service, kind }: DrainedRequest, deadlineMilliseconds: number | undefined): DrainVerdict {
    return this._admission.decide({
      service,
      route: kind,
      deadlineMilliseconds: deadlineMilliseconds ?? Number.POSITIVE_INFINITY,
      tokens: undefined,
      eventsReceived: 0,
      repeatable: false,
    });
  }
}
