/** Checks how requests end that callers send to an entry after it has got SIGTERM. */
import { BOUNDS } from './soakBounds.js';

/**
 * `whole`: a complete answer. `rejected`: a status that promises that the request has not run. `failed`: another status.
 * `cut`: the connection broke. `not-accepted`: the connection was refused.
 */
export type LeavingEnd = 'whole' | 'rejected' | 'failed' | 'cut' | 'not-accepted';

/** A request to a leaving entry. Times are in wall clock milliseconds. */
export interface LeavingRequest {
  id: string;
  entry: string;
  sentAt: number;
  endedAt: number;
  end: LeavingEnd;
  /** Why the entry rejected the request, '' if it did not. */
  reason: string;
  /** Milliseconds after which the caller no longer waits for the end of the answer. */
  deadlineMilliseconds: number;
  /** When the entry has to exit at the latest. */
  killedAt: number;
}

/** What the checks need to know about the rest of the soak. */
export interface LeavingContext {
  hasRun: (id: string) => boolean;
  overlapsFault: (from: number, until: number) => boolean;
}

/** Added to each time bound, since timers are late on a loaded machine. */
const SLACK_MILLISECONDS = 500;
/** A rejected request must have its answer within this time. */
const REJECTION_MILLISECONDS = 200;
/** Entry and caller measure the time of a request from slightly different moments. */
const TIMER_MILLISECONDS = 20;
/** Time in which an entry closes its connections and exits, as a share of the grace time. */
const CLOSE_SHARE = 1 / 8;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time in which a process gets a signal. */
const SIGNAL_MILLISECONDS = 200;
/** Share of the grace time at whose end requests from before the signal may be cut. */
const LAST_SHARE = 1 / 6;

export class LeavingChecks {
  readonly graceSeconds: number;
  private readonly _requests: LeavingRequest[] = [];

  /** `graceSeconds` is the time from SIGTERM until a process has to be gone. */
  constructor(graceSeconds: number = BOUNDS.grace_s) {
    this.graceSeconds = graceSeconds;
  }

  /** Number of requests by their end. */
  get counts(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { end } of this._requests) counts[end] = (counts[end] ?? 0) + 1;
    return counts;
  }

  onEnded(request: LeavingRequest): void {
    this._requests.push(request);
  }

  check(context: LeavingContext, onBreach: (what: string) => void): void {
    const requests = this._requests.filter(({ sentAt, endedAt }) => !context.overlapsFault(sentAt, endedAt));
    for (const request of requests) {
      const { id, entry, sentAt, endedAt, end } = request;
      const milliseconds = endedAt - sentAt;
      const isAllowed =
        reachedDeadline(request) || this._crossedSignal(request) || crossedClose(request, context);
      if (end === 'cut' && !isAllowed) onBreach(`${id} at ${entry}: cut after ${milliseconds} ms`);
      if (end === 'rejected' && milliseconds > REJECTION_MILLISECONDS + SLACK_MILLISECONDS)
        onBreach(`${id} at ${entry}: rejected after ${milliseconds} ms (${request.reason})`);
      if (request.reason === 'leaving' && this._endsByDeadline(request))
        onBreach(`${id} at ${entry}: rejected although its deadline ended it before the close`);
    }
  }

  /** Whether the entry took the request before it got the signal, and cut it at the close. */
  private _crossedSignal({ sentAt, endedAt, killedAt }: LeavingRequest): boolean {
    const graceMilliseconds = this.graceSeconds * MILLISECONDS_PER_SECOND;
    const signalledAt = killedAt - graceMilliseconds;
    const isCutAtClose = endedAt >= killedAt - graceMilliseconds * LAST_SHARE;
    return isCutAtClose && sentAt <= signalledAt + SIGNAL_MILLISECONDS;
  }

  private _endsByDeadline({ sentAt, killedAt, deadlineMilliseconds }: LeavingRequest): boolean {
    const closeMilliseconds = this.graceSeconds * MILLISECONDS_PER_SECOND * CLOSE_SHARE;
    return killedAt - sentAt >= deadlineMilliseconds + closeMilliseconds + SLACK_MILLISECONDS;
  }
}

/** Whether the entry closed a connection without having read the request that was on its way. */
function crossedClose({ id, sentAt, endedAt }: LeavingRequest, { hasRun }: LeavingContext): boolean {
  return !hasRun(id) && endedAt - sentAt <= REJECTION_MILLISECONDS + SLACK_MILLISECONDS;
}

function reachedDeadline({ sentAt, endedAt, deadlineMilliseconds }: LeavingRequest): boolean {
  return endedAt - sentAt >= deadlineMilliseconds - TIMER_MILLISECONDS;
}
