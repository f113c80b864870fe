/** Routes a caller's request to a box, with retries, or refuses it. */
import { randomUUID } from 'node:crypto';
import { discardBody } from '../external/httpClient.js';
import { configurationKey, shortName } from '../configuration/recordKeys.js';
import type { ParsedRecords } from '../configuration/parsedRecords.js';
import type { ProcessDrain } from '../draining/processDrain.js';
import type { Logger } from '../telemetry/logger.js';
import type { Metrics } from '../telemetry/metrics.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import { pause } from '../utils/timers.js';
import type { Backend } from '../routing/backend.js';
import { chooseBackend } from '../routing/backendChoice.js';
import type { RouteTable } from '../routing/routeTable.js';
import type { AgentAnswer, AgentClient, AttemptResult, LedgerTarget } from './agentClient.js';
import type { CallerRequest } from './callerRequest.js';
import { LEDGER_SLOT_COUNT, slotOfKey } from './ledgerSlots.js';
import type { LedgerRecord, SlotOwner } from './ledgerSlots.js';
import type { Refusal, RefusalReason } from './refusals.js';
import { refusalFor } from './refusals.js';
import type { RetryBudget } from './retryBudget.js';
import { readTicket } from './ticket.js';

export interface RequestRouterOptions {
  routes: RouteTable;
  client: AgentClient;
  ledgers: ParsedRecords<LedgerRecord>;
  retries: RetryBudget;
  drain: ProcessDrain;
  sharedKey: string;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  /** Whether this entry is isolated from the other processes and must not send non-repeatable requests. */
  isIsolated: () => boolean;
}

/** An answer being delivered. `done` must be called when its body has ended, whether complete or not. */
export interface RoutedAnswer {
  answer: AgentAnswer;
  backend: Backend;
  done(): void;
}

export type RouteResult = { kind: 'routed'; routed: RoutedAnswer } | { kind: 'refused'; refusal: Refusal };

/** Maximum number of boxes that a repeatable request is sent to. */
const MAX_ATTEMPTS = 4;
/** Refusals after which a retry is not charged to the retry budget: nothing has run, and the box is not serving. */
const UNBUDGETED_RETRY_REASONS: ReadonlySet<RefusalReason> = new Set([
  'leaving',
  'not-serving',
  'backend-unreachable',
]);
/** Statuses of a backend server after which a repeatable request is retried on another box. */
const OVERLOADED_STATUSES: ReadonlySet<number> = new Set([429, 502, 503]);
/** A ledger slot whose owner takes no requests is looked up repeatedly, since it may be moving to another owner. */
const MAX_OWNER_LOOKUPS = 12;
const OWNER_LOOKUP_INTERVAL_MILLISECONDS = 60;
/** Another entry can take a request immediately that this one no longer takes. */
const RETRY_AFTER_LEAVING_MILLISECONDS = 10;

/** Routes all requests of an entry. */
export class RequestRouter {
  private readonly _options: RequestRouterOptions;

  constructor(options: RequestRouterOptions) {
    this._options = options;
  }

  /** Routes a request. `callerSignal` is aborted when the caller disconnects. */
  async route(request: CallerRequest, callerSignal: AbortSignal): Promise<RouteResult> {
    this._options.retries.onRequest();
    return request.repeatable
      ? await this._routeRepeatable(request, callerSignal)
      : await this._routeOnce(request, callerSignal);
  }

  private async _routeRepeatable(request: CallerRequest, callerSignal: AbortSignal): Promise<RouteResult> {
    const tried = new Set<string>();
    let refusal = refusalFor('no-backend');
    let mayHaveRun = false;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (!this._mayStart(request)) {
        refusal = refusalFor('leaving', RETRY_AFTER_LEAVING_MILLISECONDS);
        break;
      }
      const backend = this._choose(request, tried);
      if (!backend) break;
      tried.add(backend.box);
      const result = await this._attempt(request, backend, undefined, callerSignal);
      const isLast = attempt === MAX_ATTEMPTS - 1;
      if (result.kind === 'answer' && (isLast || !OVERLOADED_STATUSES.has(result.status)))
        return this._routedResult(result, backend);
      this._releaseLoad(backend);
      refusal = result.kind === 'answer' ? overloadRefusal(result) : refusalOf(result);
      mayHaveRun ||= refusal.outcome === 'unknown';
      if (callerSignal.aborted || this._isPastDeadline(request)) break;
      if (!UNBUDGETED_RETRY_REASONS.has(refusal.reason) && !this._options.retries.takeRetry()) break;
    }
    return this._refuse(request, mayHaveRun ? { ...refusal, outcome: 'unknown' } : refusal);
  }

  /**
   * Sends a non-repeatable request to the agent incarnation that owns the slot of its key. The outcome of a refusal
   * is `unknown` unless it is certain that the request has not run.
   */
  private async _routeOnce(request: CallerRequest, callerSignal: AbortSignal): Promise<RouteResult> {
    const hasCallerKey = request.idempotencyKey !== '';
    const refuseUnsent = (reason: RefusalReason): RouteResult => {
      const refusal = refusalFor(reason);
      // A request sent earlier with the same key may have run; only the owner of the slot can rule that out.
      return this._refuse(request, hasCallerKey ? { ...refusal, outcome: 'unknown' } : refusal);
    };
    if (this._options.isIsolated()) return refuseUnsent('isolated');
    let reason: RefusalReason = 'no-backend';
    for (let attempt = 0; attempt < MAX_OWNER_LOOKUPS; attempt++) {
      if (callerSignal.aborted || this._isPastDeadline(request)) break;
      if (!this._mayStart(request)) return refuseUnsent('leaving');
      const owned = this._ownerFor(request);
      if (owned === 'lost-epoch') return this._refuse(request, refusalFor('uncertain'));
      if (owned) {
        this._logRouted(request, owned.backend, 'owns-key');
        const result = await this._attempt(owned.request, owned.backend, owned.ledger, callerSignal);
        if (result.kind === 'answer') return this._routedResult(result, owned.backend);
        this._releaseLoad(owned.backend);
        reason = result.reason;
        const mayHaveMoved = reason === 'not-owner' || reason === 'leaving' || !result.reached;
        if (!mayHaveMoved || result.outcome === 'unknown') return this._refuse(request, refusalOf(result));
      }
      await pause(OWNER_LOOKUP_INTERVAL_MILLISECONDS);
    }
    return refuseUnsent(reason);
  }

  /**
   * Returns the owner of the slot of the request's key, or `lost-epoch` if the key is a ticket of an earlier epoch,
   * whose owner may have run the request. A request without a key gets a new one, in any slot whose owner takes
   * requests.
   */
  private _ownerFor(
    request: CallerRequest,
  ): { request: CallerRequest; backend: Backend; ledger: LedgerTarget } | 'lost-epoch' | undefined {
    const table = this._options.ledgers.get(configurationKey('ledger', request.name));
    if (!table) return undefined;
    if (request.idempotencyKey === '') return this._anyAvailableOwner(request, table.slots);
    const ticket = readTicket(this._options.sharedKey, shortName(request.name), request.idempotencyKey);
    const slot = ticket ? ticket.slot : slotOfKey(request.idempotencyKey);
    const owner = table.slots[slot];
    if (!owner) return undefined;
    if (ticket && ticket.slotEpoch < owner.epoch) return 'lost-epoch';
    const backend = this._options.routes.owner(request.name, owner.box, owner.incarnation);
    const slotEpoch = ticket?.slotEpoch ?? owner.epoch;
    const ledger = { slot, slotEpoch, ticketed: ticket !== undefined, incarnation: owner.incarnation };
    return backend && { request, backend, ledger };
  }

  private _anyAvailableOwner(
    request: CallerRequest,
    slots: readonly SlotOwner[],
  ): { request: CallerRequest; backend: Backend; ledger: LedgerTarget } | undefined {
    const first = this._options.random.integer(LEDGER_SLOT_COUNT);
    for (let offset = 0; offset < LEDGER_SLOT_COUNT; offset++) {
      const slot = (first + offset) % LEDGER_SLOT_COUNT;
      const owner = slots[slot];
      const backend = this._options.routes.owner(request.name, owner.box, owner.incarnation);
      if (!backend || !this._options.routes.circuitBreaker(owner.box).allowsRequests) continue;
      const ledger = { slot, slotEpoch: owner.epoch, ticketed: true, incarnation: owner.incarnation };
      return { request: { ...request, idempotencyKey: randomUUID() }, backend, ledger };
    }
    return undefined;
  }

  private _choose(request: CallerRequest, tried: ReadonlySet<string>): Backend | undefined {
    const { routes, clock, random } = this._options;
    const allows = (box: string): boolean => !tried.has(box) && routes.circuitBreaker(box).allowsRequests;
    const { affinity } = request;
    const choice = chooseBackend(routes.pool(request.name), { affinity, allows, now: clock.now() }, random);
    if (!choice) return undefined;
    this._logRouted(request, choice.backend, choice.reason);
    return choice.backend;
  }

  private _logRouted(request: CallerRequest, backend: Backend, reason: string): void {
    const { box: peer, dataCentre: peerDataCentre, version } = backend;
    const { customer } = request.name;
    this._options.logger.decision('request.routed', {
      request: request.id,
      customer,
      peer,
      peerDataCentre,
      version,
      reason,
    });
  }

  private async _attempt(
    request: CallerRequest,
    backend: Backend,
    ledger: LedgerTarget | undefined,
    callerSignal: AbortSignal,
  ): Promise<AttemptResult> {
    const remaining = this._remaining(request);
    const signal =
      remaining === undefined
        ? callerSignal
        : AbortSignal.any([callerSignal, AbortSignal.timeout(Math.max(1, Math.ceil(remaining)))]);
    backend.load.outstanding++;
    const result = await this._options.client.send({
      request,
      backend,
      ledger,
      deadlineMilliseconds: remaining,
      signal,
    });
    if (result.load !== undefined) backend.load.report(result.load, this._options.clock.now());
    this._updateCircuitBreaker(backend, result, callerSignal);
    return result;
  }

  /** Counts a failure when the box or its backend server was unreachable, unless the caller has disconnected. */
  private _updateCircuitBreaker(backend: Backend, result: AttemptResult, callerSignal: AbortSignal): void {
    const circuit = this._options.routes.circuitBreaker(backend.box);
    const failed = result.kind === 'refused' && (!result.reached || result.reason === 'backend-unreachable');
    if (!failed) circuit.recordSuccess();
    else if (!callerSignal.aborted) circuit.recordFailure();
  }

  private _routedResult(answer: AgentAnswer, backend: Backend): RouteResult {
    let ended = false;
    const done = (): void => {
      if (!ended) this._releaseLoad(backend);
      ended = true;
    };
    return { kind: 'routed', routed: { answer, backend, done } };
  }

  private _releaseLoad(backend: Backend): void {
    backend.load.outstanding--;
  }

  /** Whether the request ends before this entry, which may be leaving, closes its connections. */
  private _mayStart(request: CallerRequest): boolean {
    const { drain, logger } = this._options;
    const deadline = this._remaining(request);
    if (drain.mayStart(deadline)) return true;
    logger.decision('request.not-started', {
      request: request.id,
      reason: 'leaving',
      deadlineMilliseconds: deadline && Math.round(deadline),
      closesInMilliseconds: Math.round(drain.closesInMilliseconds),
    });
    return false;
  }

  private _remaining(request: CallerRequest): number | undefined {
    if (request.deadlineMilliseconds === undefined) return undefined;
    return request.arrivedAt + request.deadlineMilliseconds - this._options.clock.now();
  }

  private _isPastDeadline(request: CallerRequest): boolean {
    const remaining = this._remaining(request);
    return remaining !== undefined && remaining <= 0;
  }

  private _refuse(request: CallerRequest, refusal: Refusal): RouteResult {
    this._options.metrics.count('requests_refused', { reason: refusal.reason, outcome: refusal.outcome });
    const { reason, outcome } = refusal;
    const { customer } = request.name;
    this._options.logger.decision('request.refused', { request: request.id, customer, reason, outcome });
    return { kind: 'refused', refusal };
  }
}

function refusalOf(result: Exclude<AttemptResult, AgentAnswer>): Refusal {
  const { reason, status, outcome, retryAfterMilliseconds } = result;
  return { reason, status, outcome, retryAfterMilliseconds };
}

/** Refusal for an overload status of a backend server; the status does not prove that the request has not run. */
function overloadRefusal(answer: AgentAnswer): Refusal {
  discardBody(answer.body);
  return { ...refusalFor('backend-lost'), status: answer.status };
}
