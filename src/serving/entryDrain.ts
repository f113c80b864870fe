/** The planned stop of an entry: which requests it still takes, and how its connections are closed. */
import { ClosingTime } from '../draining/closingTime.js';
import { DrainAdmission } from '../draining/drainAdmission.js';
import type { DrainVerdict } from '../draining/drainAdmission.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { ServingMetrics } from '../telemetry/servingMetrics.js';
import type { Clock } from '../utils/clock.js';
import { pause } from '../utils/timers.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { CallerExchange } from './callerExchange.js';
import { OWN_STATUS } from './callerExchange.js';
import type { EngineDescription } from './servingConfiguration.js';
import { isRepeatable } from './servingConfiguration.js';
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

/** The properties of a request on which its admission depends while the entry is leaving. */
export type LeavingRequest = Pick<AdmittedRequest, 'service' | 'route' | 'outputTokens' | 'endsAt'>;

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
/** Time to answer or reset what is left and to exit, as a share of the drain time; the process may stand still in it. */
const CLOSE_RESERVE_SHARE = 1 / 16;
const MIN_CLOSE_RESERVE_MILLISECONDS = 200;
const POLL_MILLISECONDS = 50;
/** Time for the last rejections to leave the process before it exits. */
const LAST_ANSWERS_MILLISECONDS = 150;
/** Allowance for the first request on a connection that was accepted last, also when either process is slow. */
const FIRST_REQUEST_MILLISECONDS = 200;
/** Retry delay while no other entry serves: one that left earlier may be back by then. */
const RETRY_AFTER_ONLY_ENTRY_MILLISECONDS = 1_000;

export class EntryDrain {
  private readonly _options: EntryDrainOptions;
  private readonly _closing: ClosingTime;
  private readonly _admission: DrainAdmission;
  private readonly _open = new Set<OpenRequest>();
  private _cutRequests = 0;

  constructor(options: EntryDrainOptions) {
    const { clock, isOnlyEntry } = options;
    this._options = options;
    this._closing = new ClosingTime(clock);
    this._admission = new DrainAdmission(this._closing, isOnlyEntry);
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

  /** Whether a request that has been read may be sent to a server now. */
  decide({ service, route, outputTokens, endsAt }: LeavingRequest): DrainVerdict {
    const { clock, engine } = this._options;
    const stepMilliseconds = engine(service)?.stepMilliseconds ?? 0;
    return this._admission.decide({
      service,
      deadlineMilliseconds: endsAt - clock.now(),
      shortestMilliseconds: outputTokens === undefined ? undefined : outputTokens * stepMilliseconds,
      repeatable: isRepeatable(route),
    });
  }

  /** The answer to a request is held back until it is complete; the returned function ends that. */
  beginHolding(service: string): () => void {
    this._options.metrics.count(`requests_held_leaving_total{service="${service}"}`);
    return this._admission.beginHolding(service);
  }

  /** Rejects a request that may not end in time. */
  reject(
    exchange: CallerExchange,
    { service, route, outputTokens }: LeavingRequest,
    verdict: DrainVerdict,
  ): void {
    const { log, metrics } = this._options;
    metrics.count(`requests_rejected_leaving_total{service="${service}"}`);
    log.decision('request.refused', {
      request: exchange.requestId,
      route: route.name,
      reason: 'leaving',
      noAttempt: 'leaving',
      deadlineMilliseconds: Math.round(verdict.deadlineMilliseconds),
      closesInMilliseconds: Math.round(verdict.closesInMilliseconds),
      tokens: outputTokens,
    });
    exchange.refuse(OWN_STATUS.notRun, 'leaving', this.retryAfterMilliseconds);
  }

  /** Accepts connections for most of the drain time, waits for the open requests, and ends what is left of them. */
  async drain(stopListening: () => Promise<void>): Promise<void> {
    const { clock, drainMilliseconds } = this._options;
    const reserve = Math.max(MIN_CLOSE_RESERVE_MILLISECONDS, drainMilliseconds * CLOSE_RESERVE_SHARE);
    this._closing.closeIn(Math.max(0, drainMilliseconds - reserve));
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
    await pause(LAST_ANSWERS_MILLISECONDS);
  }
}
