/** Sends an admitted request to the backend server, and the answer back to the entry. */
import type http from 'node:http';
import { Agent, request as httpRequest } from 'undici';
import { discardBody, wasNeverSent } from '../external/httpClient.js';
import { HEADER } from '../protocol/headers.js';
import type { Ledger } from '../requests/ledger.js';
import type { Refusal } from '../requests/refusals.js';
import { refusalFor } from '../requests/refusals.js';
import type { Logger } from '../telemetry/logger.js';
import { answerConnector } from '../utils/answerConnector.js';
import { framingOf, hasBody, headProblem } from '../utils/answerHead.js';
import { AnswerWitness } from '../utils/answerWitness.js';
import type { AnswerLimits } from '../utils/answerWriter.js';
import { AnswerWriter } from '../utils/answerWriter.js';
import { ByteCollector } from '../utils/byteCollector.js';
import { SystemClock } from '../utils/clock.js';
import type { ProcessState } from '../utils/connectProbe.js';
import { connectOutcome, processStateOf } from '../utils/connectProbe.js';
import { StepError, errorText } from '../utils/stepError.js';
import type { RequestPermit } from './requestGate.js';

export interface ForwardRequest {
  method: string;
  /** Path and query on the backend server. */
  path: string;
  contentType: string;
  body: Buffer;
  requestId: string;
  customer: string;
  idempotencyKey: string;
  priority: string;
  /** Key of the request in the ledger; undefined for a repeatable request. */
  ledgerKey: string | undefined;
  /** Counts the memory of an answer that cannot be sent in parts. */
  memory?: AnswerLimits['memory'];
}

type BackendAnswer = Awaited<ReturnType<typeof httpRequest>>;

const HTTP_PORT = 80;
const MAXIMUM_KEPT_ANSWER_BYTES = 64 * 1024;
/** One hour, since the first byte of an answer may take long. Callers cancel a request by disconnecting. */
const BACKEND_TIMEOUT_MILLISECONDS = 3_600_000;

/** Forwards requests to the backend server of this box. */
export class BackendForwarder {
  private readonly _baseUrl: string;
  private readonly _ledger: Ledger;
  private readonly _logger: Logger;
  private readonly _isLeaving: () => boolean;
  private readonly _clock = new SystemClock();
  private readonly _dispatcher = new Agent({
    pipelining: 1,
    headersTimeout: BACKEND_TIMEOUT_MILLISECONDS,
    bodyTimeout: BACKEND_TIMEOUT_MILLISECONDS,
    connect: answerConnector(1_000),
  });

  /** `isLeaving` tells whether the agent is stopping. */
  constructor(baseUrl: string, ledger: Ledger, logger: Logger, isLeaving: () => boolean = () => false) {
    this._isLeaving = isLeaving;
    this._baseUrl = baseUrl;
    this._ledger = ledger;
    this._logger = logger;
  }

  /** Runs the request. Returns a refusal if nothing was written to `response`. Never throws. */
  async forward(
    request: ForwardRequest,
    permit: RequestPermit,
    response: http.ServerResponse,
  ): Promise<Refusal | undefined> {
    const closed = new AbortController();
    const onClose = (): void => closed.abort();
    response.once('close', onClose);
    try {
      return await this._run(request, permit, response, closed.signal);
    } finally {
      response.off('close', onClose);
      permit.end();
    }
  }

  private async _run(
    request: ForwardRequest,
    permit: RequestPermit,
    response: http.ServerResponse,
    closed: AbortSignal,
  ): Promise<Refusal | undefined> {
    const admitted = await Promise.race([permit.admission.ready, aborted(closed)]);
    if (!admitted) {
      this._cancelLedgerEntry(request);
      return refusalFor(this._isLeaving() ? 'leaving' : 'deadline-too-close');
    }
    const answer = await this._send(request, permit, closed);
    if (answer === undefined) return refusalFor('backend-unreachable');
    if (answer === 'lost') return refusalFor('backend-lost');
    await this._pipe(answer, request, permit, response);
    return undefined;
  }

  private async _send(
    request: ForwardRequest,
    permit: RequestPermit,
    closed: AbortSignal,
  ): Promise<BackendAnswer | 'lost' | undefined> {
    try {
      const answer = await httpRequest(`${this._baseUrl}${request.path}`, {
        method: request.method as 'POST',
        headers: backendHeaders(request, permit.version.plan.version),
        body: request.body.length > 0 ? request.body : undefined,
        dispatcher: this._dispatcher,
        signal: closed,
      });
      const problem = headProblem(answer.statusCode, answer.headers);
      if (!problem) return answer;
      discardBody(answer.body);
      throw new StepError('backend.answer', problem);
    } catch (error) {
      this._logger.decision('backend.failed', { request: request.requestId, reason: errorText(error) });
      if (wasNeverSent(error)) {
        this._cancelLedgerEntry(request);
        return undefined;
      }
      this._finishLedgerEntry(request, undefined);
      return 'lost';
    }
  }

  private async _pipe(
    answer: BackendAnswer,
    request: ForwardRequest,
    permit: RequestPermit,
    response: http.ServerResponse,
  ): Promise<void> {
    const contentType = String(answer.headers['content-type'] ?? 'application/octet-stream');
    // The version named by the backend server, if any, is the one that ran; the plan's version may differ from it.
    const version = String(answer.headers[HEADER.version] ?? permit.version.plan.version);
    const headers = { 'content-type': contentType, [HEADER.version]: version, [HEADER.outcome]: 'answered' };
    const writer = new AnswerWriter(response, { memory: request.memory });
    writer.begin(answer.statusCode, headers);
    // In memory of its own: a small buffer from the pool would retain a block of 8 KB.
    const kept = new ByteCollector();
    let length = 0;
    const witness = endsWithConnection(answer, request) ? this._openWitness() : undefined;
    try {
      for await (const piece of answer.body as AsyncIterable<Buffer>) {
        length += piece.length;
        witness?.noteData();
        if (request.ledgerKey && length <= MAXIMUM_KEPT_ANSWER_BYTES) kept.add(piece);
        await writer.write(piece);
        if (response.destroyed) throw new StepError('backend.pipe', 'the entry closed the connection');
      }
      await this._assertRunning(witness);
      const isKept = length <= MAXIMUM_KEPT_ANSWER_BYTES;
      const body = isKept ? kept.take() : undefined;
      this._finishLedgerEntry(request, body && { status: answer.statusCode, contentType, version, body });
      writer.end();
    } catch (error) {
      this._logger.decision('backend.cut', { request: request.requestId, reason: errorText(error) });
      this._finishLedgerEntry(request, undefined);
      response.destroy();
    } finally {
      witness?.close();
    }
  }

  /** The system closes the connections of a crashed process in order, so that a part of an answer may look whole. */
  private _openWitness(): AnswerWitness {
    return new AnswerWitness(...this._address, this._clock);
  }

  private async _assertRunning(witness: AnswerWitness | undefined): Promise<void> {
    const state = await witness?.processState(() => this._check());
    if (state === undefined || state === 'running') return;
    throw new StepError('backend.pipe', 'the backend server may have exited as its answer ended');
  }

  private async _check(): Promise<ProcessState> {
    return processStateOf(await connectOutcome(...this._address));
  }

  private get _address(): [host: string, port: number] {
    const { hostname, port } = new URL(this._baseUrl);
    return [hostname, Number(port) || HTTP_PORT];
  }

  private _cancelLedgerEntry(request: ForwardRequest): void {
    if (request.ledgerKey) this._ledger.cancel(request.ledgerKey);
  }

  private _finishLedgerEntry(request: ForwardRequest, answer: Parameters<Ledger['finish']>[1]): void {
    if (request.ledgerKey) this._ledger.finish(request.ledgerKey, answer);
  }
}

function endsWithConnection({ statusCode, headers }: BackendAnswer, { method }: ForwardRequest): boolean {
  return hasBody(method, statusCode) && framingOf(headers) === 'connection';
}

function backendHeaders(request: ForwardRequest, version: string): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': request.contentType,
    [HEADER.requestId]: request.requestId,
    [HEADER.customer]: request.customer,
    [HEADER.version]: version,
    [HEADER.priority]: request.priority,
  };
  if (request.idempotencyKey) headers[HEADER.idempotencyKey] = request.idempotencyKey;
  return headers;
}

async function aborted(signal: AbortSignal): Promise<false> {
  if (!signal.aborted)
    await new Promise((resolve) => signal.addEventListener('abort', resolve, { once: true }));
  return false;
}
