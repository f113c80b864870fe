/** HTTP server of an entry: callers, operators, health checks and metrics on one port. */
import type http from 'node:http';
import type { ClientLimits } from '../limits/clientLimits.js';
import { LimitedServer } from '../limits/limitedServer.js';
import type { MemoryShare } from '../limits/memoryBudget.js';
import { BodyError } from '../limits/requestBody.js';
import type { Metrics } from '../telemetry/metrics.js';
import { answerJson, requestTarget } from '../utils/httpBody.js';
import { errorText } from '../utils/stepError.js';
import { answerBodyError, answerError } from './answers.js';
import type { CallerApi } from './callerApi.js';
import type { OperatorApi } from './operatorApi.js';

export interface EntryHttpOptions {
  limits: ClientLimits;
  callers: CallerApi;
  operators: OperatorApi;
  metrics: Metrics;
  /** Returns why the entry accepts no requests, or ''. */
  notReadyReason: () => string;
}

const KEEP_ALIVE_MILLISECONDS = 30_000;

export class EntryHttpServer {
  private readonly _options: EntryHttpOptions;
  private readonly _server: LimitedServer;
  private _inFlight = 0;
  private _keepAliveDisabled = false;

  constructor(options: EntryHttpOptions) {
    this._options = options;
    this._server = new LimitedServer(
      { limits: options.limits, keepAliveMilliseconds: KEEP_ALIVE_MILLISECONDS },
      (...request) => void this._serve(...request),
    );
  }

  /** Number of requests that have not been fully answered. */
  get inFlight(): number {
    return this._inFlight;
  }

  async listen(address: string, port: number): Promise<number> {
    return await this._server.listen(address, port);
  }

  /** Adds `connection: close` to later answers, so that callers send no more requests on existing connections. */
  disableKeepAlive(): void {
    this._keepAliveDisabled = true;
  }

  close(): void {
    this._server.close();
  }

  private async _serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    memory: MemoryShare,
  ): Promise<void> {
    this._inFlight++;
    response.once('close', () => this._inFlight--);
    if (this._keepAliveDisabled) response.setHeader('connection', 'close');
    try {
      const url = requestTarget(request);
      if (url) await this._route(request, response, url, memory);
      else answerError(response, 400, { error: 'no valid path', advice: 'see docs/CALLERS.md' });
    } catch (error) {
      this._answerFailure(response, error);
    }
  }

  private async _route(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    url: URL,
    memory: MemoryShare,
  ): Promise<void> {
    if (url.pathname === '/healthz') return answerJson(response, 200, {});
    if (url.pathname === '/readyz') return this._answerReady(response);
    if (url.pathname === '/metrics') return await this._answerMetrics(response);
    const reason = this._options.notReadyReason();
    if (reason !== '') {
      response.setHeader('retry-after', '1');
      return answerError(response, 503, {
        error: reason,
        advice: 'use another entry, or retry after Retry-After',
      });
    }
    if (url.pathname.startsWith('/v1/')) {
      if (await this._options.callers.handle(request, response, url, memory)) return;
      if (await this._options.operators.handle(request, response, url, memory)) return;
    }
    answerError(response, 404, {
      error: `no path ${url.pathname}`,
      advice: 'see docs/CALLERS.md and docs/OPERATIONS.md',
    });
  }

  private _answerReady(response: http.ServerResponse): void {
    const reason = this._options.notReadyReason();
    answerJson(response, reason === '' ? 200 : 503, { ready: reason === '', reason });
  }

  private async _answerMetrics(response: http.ServerResponse): Promise<void> {
    const text = await this._options.metrics.exposition();
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text);
  }

  private _answerFailure(response: http.ServerResponse, error: unknown): void {
    if (response.headersSent) {
      response.destroy();
      return;
    }
    // What is left of the body is discarded: closing at once would reset the connection, and the answer could be lost.
    if (error instanceof BodyError) return answerBodyError(response, error);
    response.setHeader('connection', 'close');
    answerError(response, 500, { error: errorText(error), advice: 'report this to the operators' });
  }
}
