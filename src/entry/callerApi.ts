/** HTTP API for callers. See docs/CALLERS.md. */
import type http from 'node:http';
import { randomUUID } from 'node:crypto';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';
import type { ConfigurationName } from '../configuration/recordKeys.js';
import { configurationKey, shortName } from '../configuration/recordKeys.js';
import type { ParsedRecords } from '../configuration/parsedRecords.js';
import type { FieldProblem } from '../configuration/resolveSpecification.js';
import { problemsOf } from '../configuration/resolveSpecification.js';
import type { ProcessDrain } from '../draining/processDrain.js';
import type { MemoryShare } from '../limits/memoryBudget.js';
import { readBody } from '../limits/requestBody.js';
import type { ServiceKind } from '../protocol/index.js';
import type { CallerRequest } from '../requests/callerRequest.js';
import { parseCallerOptions } from '../requests/callerRequest.js';
import type { LedgerRecord } from '../requests/ledgerSlots.js';
import type { RequestRouter } from '../requests/requestRouter.js';
import { issueTicket } from '../requests/ticket.js';
import type { Specifications } from '../rollout/specifications.js';
import type { EntryEndpoint } from '../routing/entryOrder.js';
import type { RouteTable } from '../routing/routeTable.js';
import type { Metrics } from '../telemetry/metrics.js';
import type { Clock } from '../utils/clock.js';
import { sha256Hex } from '../utils/hash.js';
import { answerJson, bearerToken, headerText } from '../utils/httpBody.js';
import type { Random } from '../utils/random.js';
import { answerError, answerProblems, answerRefusal } from './answers.js';
import { deliver } from './answerDelivery.js';
import type { CustomerDirectory } from './customerDirectory.js';
import { parseJson } from '../utils/json.js';

export interface CallerApiOptions {
  customers: CustomerDirectory;
  specifications: Specifications;
  router: RequestRouter;
  routes: RouteTable;
  ledgers: ParsedRecords<LedgerRecord>;
  sharedKey: string;
  /** How long callers may keep the list of entries. */
  entriesKeepSeconds: number;
  /** Time after which a caller that takes nothing of its answer is cut off. */
  callerStallMilliseconds: number;
  /** Returns the entries for a caller; `callerKey` spreads the callers over them. */
  entriesFor: (dataCentre: string, callerKey: string) => EntryEndpoint[];
  dataCentre: string;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  drain: ProcessDrain;
}

const BODY_LIMITS = { bytes: 4 * 1024 * 1024 };
/** Requests whose messages begin with the same characters, up to this number, share a prompt-cache affinity. */
const AFFINITY_PREFIX_CHARACTERS = 512;
const MAXIMUM_KEYS = 1_000;

const chatSchema = z.looseObject({
  model: z.string('the name of a model'),
  messages: z.array(z.unknown(), 'a list of messages').min(1, 'at least one message'),
});

const keysSchema = z.strictObject({
  service: z.string('the name of a model or service'),
  count: z.number().int().min(1).max(MAXIMUM_KEYS, `1 to ${MAXIMUM_KEYS}`).default(1),
});

/** Every path requires a customer's API key. */
export class CallerApi {
  private readonly _options: CallerApiOptions;

  constructor(options: CallerApiOptions) {
    this._options = options;
  }

  /** Answers a request under `/v1/`. Returns false if the path is not part of this API. */
  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    url: URL,
    memory: MemoryShare,
  ): Promise<boolean> {
    const [, , first, second] = url.pathname.split('/');
    const isChat = first === 'chat' && second === 'completions';
    if (!isChat && first !== 'services' && first !== 'entries' && first !== 'idempotency-keys') return false;
    const customer = this._options.customers.customerOf(bearerToken(request));
    if (customer === undefined) {
      answerError(response, 401, {
        error: 'unknown API key',
        advice: 'send Authorization: Bearer with your key',
      });
    } else if (first === 'entries') {
      this._answerEntries(response, url, customer);
    } else if (first === 'idempotency-keys') {
      await this._answerKeys(request, response, customer, memory);
    } else if (isChat) {
      await this._answerChat(request, response, customer, memory);
    } else {
      await this._answerService(request, response, customer, url, memory);
    }
    return true;
  }

  private _answerEntries(response: http.ServerResponse, url: URL, customer: string): void {
    const dataCentre = url.searchParams.get('dataCentre') ?? this._options.dataCentre;
    const callerKey = url.searchParams.get('asker') ?? `${customer}/${response.socket?.remoteAddress ?? ''}`;
    const entries = this._options.entriesFor(dataCentre, callerKey);
    answerJson(response, 200, { entries, keepSeconds: this._options.entriesKeepSeconds });
  }

  /** Issues idempotency keys for ledger slots whose owners accept requests now. */
  private async _answerKeys(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    customer: string,
    memory: MemoryShare,
  ): Promise<void> {
    const body = parseJson(await readBody(request, BODY_LIMITS, memory));
    const parsed = keysSchema.safeParse(body);
    if (!parsed.success) return answerProblems(response, problemsOf(parsed.error, body));
    const name =
      this._findConfiguration(customer, 'model', parsed.data.service) ??
      this._findConfiguration(customer, 'plain', parsed.data.service);
    if (!name) return this._answerUnknown(response, 'service', parsed.data.service);
    const keys = this._issueKeys(name, parsed.data.count);
    if (keys.length > 0) return answerJson(response, 200, { keys });
    answerError(response, 503, {
      error: 'no backend server accepts requests now',
      advice: 'retry after one second',
    });
  }

  private _issueKeys(name: ConfigurationName, count: number): string[] {
    const { ledgers, routes, sharedKey, random } = this._options;
    const slots = ledgers.get(configurationKey('ledger', name))?.slots ?? [];
    const usable = slots
      .map((owner, slot) => ({ owner, slot }))
      .filter(
        ({ owner }) =>
          routes.owner(name, owner.box, owner.incarnation) && routes.circuitBreaker(owner.box).allowsRequests,
      );
    if (usable.length === 0) return [];
    return Array.from({ length: count }, () => {
      const { owner, slot } = usable[random.integer(usable.length)];
      return issueTicket(sharedKey, shortName(name), { slot, slotEpoch: owner.epoch });
    });
  }

  private async _answerChat(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    customer: string,
    memory: MemoryShare,
  ): Promise<void> {
    const body = await readBody(request, BODY_LIMITS, memory);
    const chat = readChat(body);
    if (chat.isErr()) return answerProblems(response, chat.error);
    const { model, prefix } = chat.value;
    const name = this._findConfiguration(customer, 'model', model);
    if (!name) return this._answerUnknown(response, 'model', model);
    const affinity = sha256Hex(`${customer}\n${model}\n${prefix}`).slice(0, 16);
    const target = { name, path: '/v1/chat/completions', body, affinity };
    await this._routeRequest(request, response, target, true, memory);
  }

  private async _answerService(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    customer: string,
    url: URL,
    memory: MemoryShare,
  ): Promise<void> {
    const [, , , service, ...rest] = url.pathname.split('/');
    const body = await readBody(request, BODY_LIMITS, memory);
    const name = this._findConfiguration(customer, 'plain', service);
    if (!name) return this._answerUnknown(response, 'service', service);
    const repeatable = request.method === 'GET' || request.method === 'HEAD';
    await this._routeRequest(
      request,
      response,
      { name, path: `/${rest.join('/')}${url.search}`, body, affinity: '' },
      repeatable,
      memory,
    );
  }

  private async _routeRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    target: Pick<CallerRequest, 'name' | 'path' | 'body' | 'affinity'>,
    repeatable: boolean,
    memory: MemoryShare,
  ): Promise<void> {
    const callerOptions = parseCallerOptions(request.headers, repeatable);
    if (callerOptions.isErr()) return answerProblems(response, callerOptions.error);
    const arrivedAt = this._options.clock.now();
    const callerRequest: CallerRequest = {
      ...target,
      ...callerOptions.value,
      id: randomUUID(),
      method: request.method ?? 'POST',
      contentType: headerText(request.headers, 'content-type') || 'application/json',
      arrivedAt,
    };
    const callerLeft = new AbortController();
    response.once('close', () => callerLeft.abort());
    const result = await this._options.router.route(callerRequest, callerLeft.signal);
    if (result.kind === 'refused')
      return answerRefusal(response, result.refusal, callerRequest.id, this._options.random);
    this._options.metrics.latency('first_byte', this._options.clock.now() - arrivedAt);
    const limits = { memory, stallMilliseconds: this._options.callerStallMilliseconds };
    const end = await deliver(result.routed, callerRequest.id, response, limits);
    this._options.metrics.count('requests_delivered', { end });
    this._options.metrics.latency('whole_answer', this._options.clock.now() - arrivedAt);
  }

  /** Finds a configuration of the customer by its own name or by that of its model. Never finds another customer's. */
  private _findConfiguration(
    customer: string,
    kind: ServiceKind,
    wanted: string,
  ): ConfigurationName | undefined {
    const found = this._options.specifications.all().find(({ name, specification }) => {
      if (name.customer !== customer || specification?.kind !== kind) return false;
      return name.configuration === wanted || (kind === 'model' && specification.model === wanted);
    });
    return found?.name;
  }

  private _answerUnknown(response: http.ServerResponse, kindName: 'model' | 'service', name: string): void {
    answerError(response, 404, {
      error: `no ${kindName} ${JSON.stringify(name)}`,
      advice: 'ask your operator for the name',
    });
  }
}

/**
 * Reads what routing needs of a chat; the parsed body, which may be many times larger than its text, is not kept. The
 * prefix is the beginning of the messages.
 */
function readChat(body: Buffer): Result<{ model: string; prefix: string }, FieldProblem[]> {
  const json = parseJson(body);
  const parsed = chatSchema.safeParse(json);
  if (!parsed.success) return err(problemsOf(parsed.error, json));
  const { model, messages } = parsed.data;
  return ok({ model, prefix: JSON.stringify(messages).slice(0, AFFINITY_PREFIX_CHARACTERS) });
}
