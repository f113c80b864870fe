/** Sends one attempt of a request to an agent. */
import type { Readable } from 'node:stream';
import { Agent, request as httpRequest } from 'undici';
import { discardBody, wasNeverSent } from '../external/httpClient.js';
import { HEADER } from '../protocol/headers.js';
import type { Outcome } from '../protocol/headers.js';
import { answerConnector } from '../utils/answerConnector.js';
import type { Backend } from '../routing/backend.js';
import type { CallerRequest } from './callerRequest.js';
import type { RefusalReason } from './refusals.js';

/** The ledger slot, and its owner's incarnation, to which a non-repeatable request is addressed. */
export interface LedgerTarget {
  slot: number;
  slotEpoch: number;
  ticketed: boolean;
  incarnation: string;
}

/** An answer whose body has not been read yet. */
export interface AgentAnswer {
  kind: 'answer';
  status: number;
  contentType: string;
  version: string;
  body: Readable;
  load: number | undefined;
}

/** Result of an attempt. `reached` tells whether the refusal comes from the agent itself. */
export type AttemptResult =
  | AgentAnswer
  | {
      kind: 'refused';
      reason: RefusalReason;
      outcome: Outcome;
      status: number;
      retryAfterMilliseconds: number;
      reached: boolean;
      load: number | undefined;
    };

/** One attempt to send a request to a box. */
export interface Attempt {
  request: CallerRequest;
  backend: Backend;
  /** Set only when the request is not repeatable. */
  ledger: LedgerTarget | undefined;
  deadlineMilliseconds: number | undefined;
  signal: AbortSignal;
}

/** Sends requests to agents over pooled connections. */
export class AgentClient {
  private readonly _token: string;
  private readonly _dispatcher: Agent;

  /**
   * `token` authenticates this entry to agents. `firstByteMilliseconds` limits the wait for the headers of an answer,
   * and for each further part of its body.
   */
  constructor(token: string, firstByteMilliseconds: number) {
    this._token = token;
    this._dispatcher = new Agent({
      pipelining: 1,
      headersTimeout: firstByteMilliseconds,
      bodyTimeout: firstByteMilliseconds,
      keepAliveTimeout: 10_000,
      connect: answerConnector(1_000),
    });
  }

  /** Sends the attempt. Never throws; failures are returned as refusals. */
  async send(attempt: Attempt): Promise<AttemptResult> {
    const { request, backend } = attempt;
    const url = `http://${backend.address}:${backend.httpPort}/requests${request.path}`;
    const boxLost = new AbortController();
    const onLost = (): void => boxLost.abort();
    backend.lost.addEventListener('abort', onLost);
    try {
      const answer = await httpRequest(url, {
        method: request.method as 'POST',
        headers: requestHeaders(attempt, this._token),
        body: request.body.length > 0 ? request.body : undefined,
        dispatcher: this._dispatcher,
        signal: AbortSignal.any([attempt.signal, boxLost.signal]),
      });
      return await toAttemptResult(answer, request);
    } catch (error) {
      const neverSent = wasNeverSent(error);
      const reason = neverSent ? 'backend-unreachable' : 'backend-lost';
      return unreachedResult(reason, neverSent ? 'not-run' : 'unknown');
    } finally {
      // Once an answer has begun it may complete over its own connection even if the box counts as lost.
      backend.lost.removeEventListener('abort', onLost);
    }
  }
}

type HttpAnswer = Awaited<ReturnType<typeof httpRequest>>;

function requestHeaders(
  { request, ledger, deadlineMilliseconds }: Attempt,
  token: string,
): Record<string, string> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${token}`,
    'content-type': request.contentType,
    [HEADER.requestId]: request.id,
    [HEADER.customer]: request.name.customer,
    [HEADER.configuration]: request.name.configuration,
    [HEADER.priority]: request.priority,
    [HEADER.repeatable]: ledger ? 'no' : 'yes',
  };
  if (request.idempotencyKey) headers[HEADER.idempotencyKey] = request.idempotencyKey;
  if (deadlineMilliseconds !== undefined)
    headers[HEADER.deadline] = String(Math.max(1, Math.floor(deadlineMilliseconds)));
  if (!ledger) return headers;
  return {
    ...headers,
    [HEADER.slot]: String(ledger.slot),
    [HEADER.slotEpoch]: String(ledger.slotEpoch),
    [HEADER.slotTicketed]: ledger.ticketed ? 'yes' : 'no',
    [HEADER.incarnation]: ledger.incarnation,
  };
}

/** Converts an HTTP answer. An answer whose request id or customer does not match the request is treated as lost. */
async function toAttemptResult(answer: HttpAnswer, request: CallerRequest): Promise<AttemptResult> {
  const text = (name: string): string => String(answer.headers[name] ?? '');
  const load =
    text(HEADER.inFlight) === '' ? undefined : Number(text(HEADER.inFlight)) + Number(text(HEADER.queued));
  if (text(HEADER.requestId) !== request.id || text(HEADER.customer) !== request.name.customer) {
    discardBody(answer.body);
    return unreachedResult('backend-lost', 'unknown');
  }
  if (text(HEADER.outcome) === 'answered') {
    const { statusCode: status, body } = answer;
    return {
      kind: 'answer',
      status,
      contentType: text('content-type'),
      version: text(HEADER.version),
      body,
      load,
    };
  }
  await answer.body.dump();
  return {
    kind: 'refused',
    reason: (text(HEADER.reason) || 'backend-lost') as RefusalReason,
    outcome: text(HEADER.outcome) === 'not-run' ? 'not-run' : 'unknown',
    status: answer.statusCode,
    retryAfterMilliseconds: Number(text(HEADER.retryAfter) || '1') * 1000,
    reached: true,
    load,
  };
}

function unreachedResult(reason: RefusalReason, outcome: Outcome): AttemptResult {
  const status = reason === 'backend-unreachable' ? 503 : 502;
  return {
    kind: 'refused',
    reason,
    outcome,
    status,
    retryAfterMilliseconds: 500,
    reached: false,
    load: undefined,
  };
}
