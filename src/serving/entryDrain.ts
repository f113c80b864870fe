/** The planned stop of an entry: which requests it still takes, and how its connections are closed. */
import { ClosingTime } from '../draining/closingTime.js';
import { DrainAdmission } from '../draining/drainAdmission.js';
import type { DrainVerdict } from '../draining/drainAdmission.js';
import type { ExpectedRequest } from '../draining/durationEstimator.js';
import { RecentDurations } from '../draining/recentDurations.js';
import { StreamPace } from '../draining/streamPace.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { ServingMetrics } from '../telemetry/servingMetrics.js';
import type { Clock } from '../utils/clock.js';
import { pause } from '../utils/timers.js';
import type { CallerExchange } from './callerExchange.js';
import { OWN_STATUS, RESET_DELAY_MILLISECONDS } from './callerExchange.js';
import type { EngineDescription } from './servingConfiguration.js';
import { RETRY_AFTER_LEAVING_MILLISECONDS } from './slotRequest.js';

export interface EntryDrainOptions {
  clock: Clock;
  log: EventLog;
  metrics: ServingMetrics;
  /** Time from the signal to stop until the process may be killed. */
  drainMilliseconds: number;
  /** Returns the engine of a service, if it has one. */
  engine: (service: string) => EngineDescription | undefined;
  /** Whether all other entries are known to be leaving or gone. */
  isOnlyEntry: () => boolean;
}

/** A request of which the caller has not been sent the whole answer. */
export interface OpenRequest {
  exchange: CallerExchange;
  /** Ends an admitted request when the connections are closed; undefined before its admission. */
  endAtClose: (() => void) | undefined;
}

/**
 * Share of the drain time for which new connections are accepted, since callers may use the address of the entry
 * for up to three times the time that the directory's answer tells them to keep it.
 */
const LISTEN_SHARE = 0.72;
/** Time to reset connections and to exit, before the end of the drain time. */
const CLOSE_RESERVE_MILLISECONDS = 200;
const POLL_MILLISECONDS = 50;
/** Allowance for the first request on a connection that was accepted last, also when either process is slow. */
const FIRST_REQUEST_MILLISECONDS = 200;
/** Retry delay while no other entry serves: one that left earlier may be back by then. */
const RETRY_AFTER_ONLY_ENTRY_MILLISECONDS = 1_000;

export class EntryDrain {
  readonly pace: StreamPace;
  readonly durations: RecentDurations;
  readonly admission: DrainAdmission;
  private readonly _options: EntryDrainOptions;
  private readonly _closing: ClosingTime;
  private readonly _open = new Set<OpenRequest>();
  private _cutRequests = 0;

  constructor(options: EntryDrainOptions) {
    const { clock, engine } = options;
    this._options = options;
    this._closing = new ClosingTime(clock);
    this.pace = new StreamPace(clock, (service) => {
      const description = engine(service);
      if (!description) return undefined;
      const { stepMilliseconds: millisecondsPerToken, tokensPerEvent } = description;
      return { millisecondsPerToken, tokensPerEvent };
    });
    this.durations = new RecentDurations(clock);
    this.admission = new DrainAdmission({
      closing: this._closing,
      estimators: [this.pace, this.durations],
      streams: this.pace,
    });
  }

  /** Number of requests of which the caller has not been sent the whole answer. */
  get running(): number {
    return this._open.size;
  }

  /** Number of requests that were cut off when the connections were closed. */
  get cutRequests(): number {
    return this._cutRequests;
  }

  get isLeaving(): boolean {
    return this._closing.isSet;
  }

  /** Milliseconds until the connections are closed; infinite while the entry is not leaving. */
  get closesInMilliseconds(): number {
    return this._closing.leftMilliseconds;
  }

  /** Milliseconds after which callers should retry what this entry rejects because it is leaving. */
  get retryAfterMilliseconds(): number {
    return this._options.isOnlyEntry()
      ? RETRY_AFTER_ONLY_ENTRY_MILLISECONDS
      : RETRY_AFTER_LEAVING_MILLISECONDS;
  }

  /** Registers a request until its answer has been handed to the operating system, or its connection is closed. */
  open(exchange: CallerExchange): OpenRequest {
    const request: OpenRequest = { exchange, endAtClose: undefined };
    this._open.add(request);
    exchange.onceClosed(() => this._open.delete(request));
    return request;
  }

  /** Rejects a request that may not end in time. */
  reject(exchange: CallerExchange, request: ExpectedRequest, verdict: DrainVerdict): void {
    const { log, metrics } = this._options;
    metrics.count(`requests_rejected_leaving_total{service="${request.service}",basis="${verdict.basis}"}`);
    log.decision('request.refused', {
      request: exchange.requestId,
      route: request.route,
      reason: 'leaving',
      noAttempt: 'leaving',
      ...drainFields(request, verdict),
    });
    exchange.refuse(OWN_STATUS.notRun, 'leaving', this.retryAfterMilliseconds);
  }

  /** Accepts connections for most of the drain time, waits for the open requests, and ends what is left of them. */
  async drain(stopListening: () => Promise<void>): Promise<void> {
    const { clock, drainMilliseconds } = this._options;
    this._closing.closeIn(Math.max(0, drainMilliseconds - CLOSE_RESERVE_MILLISECONDS));
    const listensUntil = clock.now() + drainMilliseconds * LISTEN_SHARE;
    while (clock.now() < listensUntil) await pause(POLL_MILLISECONDS);
    await stopListening();
    await pause(FIRST_REQUEST_MILLISECONDS);
    while (this.running > 0 && this._closing.leftMilliseconds > 0)
      await pause(Math.min(POLL_MILLISECONDS, this._closing.leftMilliseconds));
    if (this.running > 0) await this._endOpenRequests();
  }

  /** Rejects the requests that have not been read whole, and cuts off the others. */
  private async _endOpenRequests(): Promise<void> {
    for (const { exchange, endAtClose } of [...this._open]) {
      if (endAtClose) {
        this._cutRequests++;
        endAtClose();
      } else exchange.refuse(OWN_STATUS.notRun, 'leaving', this.retryAfterMilliseconds);
    }
    // Otherwise the exit closes the connection in order, and an answer without length looks complete.
    await pause(RESET_DELAY_MILLISECONDS + POLL_MILLISECONDS);
  }
}

/** Log fields that tell an estimate that was wrong from a server that became slow. */
export function drainFields(
  { tokens, eventsReceived }: ExpectedRequest,
  { basis, estimateMilliseconds, closesInMilliseconds }: DrainVerdict,
): Record<string, string | number | undefined> {
  return {
    basis,
    estimateMilliseconds: Math.round(estimateMilliseconds),
    closesInMilliseconds: Math.round(closesInMilliseconds),
    tokens,
    eventsReceived: eventsReceived > 0 ? eventsReceived : undefined,
  };
}
