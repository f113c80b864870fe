/** Checks a caller's request against the configuration, and either admits it or answers it. */
import type http from 'node:http';
import type { AdmissionPolicy, AdmissionProfile } from '../admission/admissionPolicy.js';
import { requestFingerprint } from '../crashes/requestFingerprint.js';
import { requestIdentities } from '../crashes/requestIdentity.js';
import { BodyError, readBody } from '../limits/requestBody.js';
import type { BodyProblem } from '../limits/requestBody.js';
import { permittedRegions } from '../locality/permittedRegions.js';
import type { EventLog } from '../telemetry/eventLog.js';
import { bearerToken } from '../utils/httpBody.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import type { CallerExchange } from './callerExchange.js';
import { OWN_STATUS, forwardedHeaders } from './callerExchange.js';
import type { ConfigurationHolder } from './configurationHolder.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { EntryDrain } from './entryDrain.js';
import type { HeaderNames } from './headerNames.js';
import { sharedPromptParts } from './promptParts.js';
import { maximumOutputTokens, promptSize } from './promptSize.js';
import type { RetryLimit } from './retryAllowance.js';
import { RetryAllowances } from './retryAllowances.js';
import { chooseTarget } from './routeIndex.js';
import type { RouteIndex } from './routeIndex.js';
import type { CustomerKeys, Route } from './servingConfiguration.js';

export interface AdmissionOptions {
  policy: AdmissionPolicy;
  names: HeaderNames;
  configuration: ConfigurationHolder;
  clock: Clock;
  random: Random;
  log: EventLog;
  retryLimit: RetryLimit;
  /** Whether no earlier process of this entry can have used its share of the retries. */
  isFirstStart: boolean;
  /** Number of entries that share the limit on retries. */
  entries: () => number;
  drain: EntryDrain;
  /** Whether the list of evacuated data centres is known. */
  knowsEvacuations: () => boolean;
  /** Whether the configuration is known to be the newest. */
  isCurrent: () => boolean;
}

/** A refusal because of the configuration: an unknown route or API key. */
interface Denial {
  status: number;
  reason: string;
}

/** A request that the configuration allows and that has been read whole. */
interface CheckedRequest {
  route: Route;
  service: string;
  customer: CustomerKeys | undefined;
  body: Buffer;
  arrivedAt: number;
  endsAt: number;
  outputTokens: number | undefined;
}

/** The lowest rank that the priority header can carry. */
const MAX_PRIORITY = 9;
const RETRY_AFTER_STALE_MILLISECONDS = 400;
const RETRY_AFTER_MEMORY_MILLISECONDS = 1_000;
const MAX_REQUEST_MILLISECONDS = 3_600_000;

export class RequestAdmission {
  readonly policy: AdmissionPolicy;
  private readonly _options: AdmissionOptions;
  private readonly _retries: RetryAllowances;
  private readonly _droppedHeaders: ReadonlySet<string>;

  constructor(options: AdmissionOptions) {
    this._options = options;
    this.policy = options.policy;
    const { names, retryLimit, clock, entries, isFirstStart } = options;
    this._retries = new RetryAllowances(retryLimit, clock, entries, isFirstStart);
    this._droppedHeaders = new Set([
      'authorization',
      names.deadline,
      names.customer,
      names.expectedServer,
      names.expectedVersion,
      names.lastEventId,
      names.priority,
      names.notRun,
    ]);
  }

  /** Returns the admitted request, or undefined when the request has been answered here. */
  async admit(exchange: CallerExchange): Promise<AdmittedRequest | undefined> {
    const { clock, configuration, drain, knowsEvacuations, names, random } = this._options;
    const arrivedAt = clock.now();
    const { request } = exchange;
    const { index } = configuration;
    if (!index) {
      exchange.refuse(OWN_STATUS.notRun, 'no configuration yet', RETRY_AFTER_STALE_MILLISECONDS);
      return undefined;
    }
    if (!knowsEvacuations()) {
      exchange.refuse(OWN_STATUS.notRun, 'no list of evacuations yet', RETRY_AFTER_STALE_MILLISECONDS);
      return undefined;
    }
    const route = index.route(request.headers.host ?? '', request.url ?? '/');
    if (!route) return this._deny(exchange, { status: OWN_STATUS.noRoute, reason: 'no such route' });
    const customer = index.customer(bearerToken(request));
    if (!customer && !route.anonymous && index.hasCustomers) {
      return this._deny(exchange, { status: OWN_STATUS.unauthorized, reason: 'unknown API key' });
    }
    const endsAt = arrivedAt + this._timeout(request, route);
    const body = await this._readBody(exchange, index, endsAt);
    if (body === undefined) return undefined;
    const service = chooseTarget(route, random.fraction());
    const outputTokens = maximumOutputTokens(request.headers[names.tokens]);
    const checked = { route, service, customer, body, arrivedAt, endsAt, outputTokens };
    const verdict = drain.decide(checked);
    if (verdict.decision !== 'reject') return this._admitted(exchange, checked);
    drain.reject(exchange, checked, verdict);
    return undefined;
  }

  private _deny(exchange: CallerExchange, denial: Denial): undefined {
    const { isCurrent, configuration, log } = this._options;
    const current = isCurrent();
    log.decision('request.denied', {
      request: exchange.requestId,
      status: denial.status,
      reason: denial.reason,
      version: configuration.version,
      current,
    });
    if (current) exchange.refuse(denial.status, denial.reason);
    else exchange.refuse(OWN_STATUS.notRun, 'configuration may be old', RETRY_AFTER_STALE_MILLISECONDS);
    return undefined;
  }

  private async _readBody(
    exchange: CallerExchange,
    index: RouteIndex,
    endsAt: number,
  ): Promise<Buffer | undefined> {
    const { clock, log } = this._options;
    const { bodyBytes: bytes } = index.configuration.limits;
    try {
      const limits = { bytes, milliseconds: endsAt - clock.now() };
      return await readBody(exchange.request, limits, exchange.memory);
    } catch (error) {
      if (!(error instanceof BodyError)) throw error;
      log.decision('request.body-refused', { request: exchange.requestId, reason: error.problem });
      refuseBody(exchange, error.problem);
      return undefined;
    }
  }

  private _admitted(
    exchange: CallerExchange,
    { route, service, customer, body, arrivedAt, endsAt, outputTokens }: CheckedRequest,
  ): AdmittedRequest {
    const { names } = this._options;
    const { request } = exchange;
    const headers = forwardedHeaders(request, this._droppedHeaders);
    if (customer) headers.push(names.customer, customer.name);
    const profile = this._profile(request, route, service, customer, arrivedAt);
    headers.push(names.priority, String(priorityOf(profile, route, customer)));
    const retries = this._retries.of(service);
    retries.onRequest();
    const { method = 'GET', url: path = '/' } = request;
    const host = request.headers.host ?? '';
    const parts = { customer: customer?.name ?? '', host, method, path, body };
    const fingerprint = lazy(() => requestFingerprint(parts));
    const promptParts = sharedPromptParts(request.headers[names.promptParts]);
    return {
      exchange,
      route,
      service,
      permittedRegions: permittedRegions([route.homeRegions, customer?.homeRegions ?? []]),
      model: String(request.headers[names.model] ?? ''),
      fingerprint,
      identities: lazy(() => requestIdentities({ service, fingerprint: fingerprint(), promptParts })),
      method,
      path,
      headers,
      body: body.length > 0 ? body : undefined,
      promptSize: promptSize(request.headers[names.tokens], this._meanPromptTokens(service)),
      outputTokens,
      promptParts,
      lastEventId: String(request.headers[names.lastEventId] ?? ''),
      retries,
      profile,
      endsAt,
    };
  }

  private _profile(
    request: http.IncomingMessage,
    route: Route,
    service: string,
    customer: CustomerKeys | undefined,
    arrivedAt: number,
  ): AdmissionProfile {
    const { configuration, names } = this._options;
    const rank = configuration.index?.ranks.rank(service, route, customer?.priority);
    const deadline = Number(request.headers[names.deadline]);
    return this.policy.admit({
      service,
      route: route.name,
      objectiveMilliseconds: route.objectiveMilliseconds,
      rank: rank?.rank ?? 0,
      ranks: rank?.ranks ?? 1,
      deadlineMilliseconds: deadline > 0 ? Math.min(deadline, MAX_REQUEST_MILLISECONDS) : undefined,
      arrivedAt,
    });
  }

  /** Mean number of tokens of a prompt to a service, 0 when unknown. */
  private _meanPromptTokens(service: string): number {
    return this._options.configuration.index?.service(service)?.engine?.meanPromptTokens ?? 0;
  }

  /** Maximum duration of a request: the caller's deadline, limited by the route's timeout. */
  private _timeout(request: http.IncomingMessage, route: Route): number {
    const requested = Number(request.headers[this._options.names.deadline] ?? MAX_REQUEST_MILLISECONDS);
    return Math.min(requested || MAX_REQUEST_MILLISECONDS, route.timeoutMilliseconds);
  }
}

/** Answers a request whose body could not be read. It has not run. */
function refuseBody(exchange: CallerExchange, problem: BodyProblem): void {
  switch (problem) {
    case 'too-large':
      return exchange.refuse(OWN_STATUS.tooLarge, 'body too large');
    case 'no-memory':
      return exchange.refuse(OWN_STATUS.notRun, 'no memory for the body', RETRY_AFTER_MEMORY_MILLISECONDS);
    case 'time-over':
      return exchange.refuse(OWN_STATUS.bodyTimeOut, 'the body did not end in time');
    case 'ended-early':
      return exchange.abort();
  }
}

/** Returns a function that computes a value on its first call and returns it from then on. */
function lazy<T>(compute: () => T): () => T {
  let result: { value: T } | undefined;
  return () => (result ??= { value: compute() }).value;
}

/** Priority of a request at the server: its rank if the service has several, else the configured priority. */
function priorityOf(
  { rank, ranks }: AdmissionProfile,
  route: Route,
  customer: CustomerKeys | undefined,
): number {
  return ranks > 1 ? Math.min(MAX_PRIORITY, rank) : (customer?.priority ?? route.priority);
}
