/** HTTP server of an agent: chunks for other agents, weights for the local backend server, requests from entries. */
import type http from 'node:http';
import type { ClientLimits } from '../limits/clientLimits.js';
import { LimitedServer } from '../limits/limitedServer.js';
import type { MemoryShare } from '../limits/memoryBudget.js';
import { BodyError, readBody } from '../limits/requestBody.js';
import { senderOfToken } from '../protocol/authentication.js';
import { HEADER } from '../protocol/headers.js';
import type { Priority } from '../protocol/headers.js';
import type { FairQueue } from '../requests/fairQueue.js';
import type { LedgerRequest } from '../requests/ledger.js';
import type { Refusal } from '../requests/refusals.js';
import { refusalFor } from '../requests/refusals.js';
import type { Metrics } from '../telemetry/metrics.js';
import { untilDrained } from '../utils/backpressure.js';
import { answerJson, bearerToken, headerText } from '../utils/httpBody.js';
import { errorText } from '../utils/stepError.js';
import type { UploadQueue } from '../weights/uploadQueue.js';
import type { BackendForwarder } from './backendForwarder.js';
import type { RequestPermit, RequestGate } from './requestGate.js';
import type { StagedVersion } from './stagedVersion.js';

export interface AgentHttpOptions {
  limits: ClientLimits;
  box: string;
  incarnation: string;
  sharedKey: string;
  gate: RequestGate;
  queue: FairQueue;
  forwarder: BackendForwarder;
  uploads: UploadQueue;
  metrics: Metrics;
  /** Returns all versions on the box. */
  versions: () => StagedVersion[];
  isReady: () => boolean;
}

const KEEP_ALIVE_MILLISECONDS = 30_000;
export const MAXIMUM_REQUEST_BYTES = 4 * 1024 * 1024;
const PRIORITIES: readonly string[] = ['high', 'normal', 'low'];

/** Every path except `/healthz`, `/readyz`, `/metrics` and `/local-weights/` requires the shared key. */
export class AgentHttpServer {
  private readonly _options: AgentHttpOptions;
  private readonly _server: LimitedServer;

  constructor(options: AgentHttpOptions) {
    this._options = options;
    const limited = { limits: options.limits, keepAliveMilliseconds: KEEP_ALIVE_MILLISECONDS };
    this._server = new LimitedServer(limited, (request, response, share) => {
      this._serve(request, response, share).catch((error: unknown) => this._answerFailure(response, error));
    });
  }

  async listen(address: string, port: number): Promise<number> {
    return await this._server.listen(address, port);
  }

  close(): void {
    this._server.close();
  }

  private async _serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    memory: MemoryShare,
  ): Promise<void> {
    const [, kind, ...rest] = (request.url ?? '/').split('/');
    if (kind === 'healthz') return answerJson(response, 200, { box: this._options.box });
    if (kind === 'readyz') return this._answerReady(response);
    if (kind === 'metrics') return await this._answerMetrics(response);
    if (kind === 'local-weights') return await this._sendWeights(rest[0], response);
    const sender = senderOfToken(this._options.sharedKey, bearerToken(request));
    if (sender === undefined)
      return answerJson(response, 401, { error: 'the shared key is missing or wrong' });
    if (kind === 'chunks') return await this._sendChunk(sender, rest, response);
    if (kind === 'requests') return await this._runRequest(request, response, memory);
    answerJson(response, 404, { error: 'no such path' });
  }

  private _answerFailure(response: http.ServerResponse, error: unknown): void {
    const isBody = error instanceof BodyError;
    if (isBody && error.problem === 'no-memory') return this._refuse(response, refusalFor('queue-full'));
    // What is left of a body is discarded: closing at once would reset the connection, and the answer could be lost.
    answerJson(response, 400, { error: errorText(error) }, isBody ? {} : { connection: 'close' });
  }

  private _answerReady(response: http.ServerResponse): void {
    const ready = this._options.isReady();
    answerJson(response, ready ? 200 : 503, { ready });
  }

  private async _answerMetrics(response: http.ServerResponse): Promise<void> {
    const text = await this._options.metrics.exposition();
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text);
  }

  /** Sends chunks only to boxes of the rollout. Any other box gets the same 404 as for a chunk that doesn't exist. */
  private async _sendChunk(
    sender: string,
    [name, chunk]: string[],
    response: http.ServerResponse,
  ): Promise<void> {
    const rollout = decodeURIComponent(name);
    const version = this._options.versions().find((candidate) => candidate.plan.rollout === rollout);
    const data = version?.hasMember(sender) ? version.chunkData(Number(chunk)) : undefined;
    if (!version || !data) return answerJson(response, 404, { error: 'no such chunk' });
    const { uploads, box } = this._options;
    const priority = version.areInDifferentDataCentres(sender, box) ? 'other-data-centre' : 'usual';
    await uploads.send(response, data, { chunk: `${rollout}/${chunk}`, priority });
  }

  private async _sendWeights(token: string, response: http.ServerResponse): Promise<void> {
    const version = this._options.versions().find((candidate) => candidate.weightsToken === token);
    if (!version?.exchange.complete) return answerJson(response, 404, { error: 'no such weights' });
    response.writeHead(200, { 'content-length': version.index.totalBytes });
    for (let chunk = 0; chunk < version.index.chunkCount && !response.destroyed; chunk++) {
      const data = version.chunkData(chunk);
      if (!data) {
        response.destroy();
        return;
      }
      if (!response.write(data)) await untilDrained(response);
    }
    response.end();
  }

  private async _runRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    memory: MemoryShare,
  ): Promise<void> {
    this._addCommonHeaders(request, response);
    const body = await readBody(request, { bytes: MAXIMUM_REQUEST_BYTES }, memory);
    const header = (name: string): string => headerText(request.headers, name);
    const customer = header(HEADER.customer);
    const configuration = header(HEADER.configuration);
    const priority = (
      PRIORITIES.includes(header(HEADER.priority)) ? header(HEADER.priority) : 'normal'
    ) as Priority;
    const deadline = header(HEADER.deadline);
    const ledgerRequest = this._ledgerRequest(request, customer, configuration);
    const admitted = this._options.gate.admit({
      customer,
      configuration,
      priority,
      deadlineMilliseconds: deadline === '' ? undefined : Number(deadline),
      version: header(HEADER.version),
      ledgerRequest,
    });
    if (admitted.isErr()) return this._refuse(response, admitted.error);
    if (admitted.value.kind === 'replay') return this._replay(response, admitted.value.answer);
    await this._forward(request, response, admitted.value, {
      customer,
      priority,
      body,
      ledgerKey: ledgerRequest?.key,
      memory,
    });
  }

  private async _forward(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    permit: RequestPermit,
    details: {
      customer: string;
      priority: Priority;
      body: Buffer;
      ledgerKey: string | undefined;
      memory: MemoryShare;
    },
  ): Promise<void> {
    const refusal = await this._options.forwarder.forward(
      {
        ...details,
        method: request.method ?? 'POST',
        path: (request.url ?? '').slice('/requests'.length),
        contentType: headerText(request.headers, 'content-type'),
        requestId: headerText(request.headers, HEADER.requestId),
        idempotencyKey: headerText(request.headers, HEADER.idempotencyKey),
      },
      permit,
      response,
    );
    if (refusal) this._refuse(response, refusal);
  }

  /**
   * Returns undefined for a repeatable request. A non-repeatable one names the incarnation that it is sent to. If
   * that is not this incarnation, the slot is -1, so that the ledger refuses a new key as `not-owner`.
   */
  private _ledgerRequest(
    request: http.IncomingMessage,
    customer: string,
    configuration: string,
  ): LedgerRequest | undefined {
    const header = (name: string): string => headerText(request.headers, name);
    if (header(HEADER.repeatable) !== 'no') return undefined;
    const isForThisIncarnation = header(HEADER.incarnation) === this._options.incarnation;
    return {
      key: `${customer}.${configuration}.${header(HEADER.idempotencyKey)}`,
      slot: isForThisIncarnation ? Number(header(HEADER.slot)) : -1,
      slotEpoch: Number(header(HEADER.slotEpoch)),
      ticketed: header(HEADER.slotTicketed) === 'yes',
    };
  }

  private _refuse(response: http.ServerResponse, refusal: Refusal): void {
    this._options.metrics.count('requests_refused', { reason: refusal.reason });
    answerJson(response, refusal.status, { error: refusal.reason }, refusalHeaders(refusal));
  }

  private _replay(
    response: http.ServerResponse,
    answer: { status: number; contentType: string; version: string; body: Buffer },
  ): void {
    const headers = {
      'content-type': answer.contentType,
      'content-length': answer.body.length,
      [HEADER.version]: answer.version,
      [HEADER.outcome]: 'answered',
    };
    response.writeHead(answer.status, headers).end(answer.body);
  }

  /** Adds the id and the customer of the request, and the load of the box, to the answer. */
  private _addCommonHeaders(request: http.IncomingMessage, response: http.ServerResponse): void {
    response.setHeader(HEADER.requestId, headerText(request.headers, HEADER.requestId));
    response.setHeader(HEADER.customer, headerText(request.headers, HEADER.customer));
    response.setHeader(HEADER.inFlight, this._options.queue.running);
    response.setHeader(HEADER.queued, this._options.queue.waiting);
  }
}

/** Headers that describe a refusal to the entry. */
export function refusalHeaders(refusal: Refusal): http.OutgoingHttpHeaders {
  return {
    [HEADER.outcome]: refusal.outcome,
    [HEADER.reason]: refusal.reason,
    [HEADER.retryAfter]: String(Math.ceil(refusal.retryAfterMilliseconds / 1000)),
  };
}
