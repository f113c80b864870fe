/** Stand-in for a model engine: OpenAI-style chat with streaming, and orders to load, activate and unload versions. */
import { createHash } from 'node:crypto';
import type http from 'node:http';
import { request as httpRequest } from 'undici';
import { pause } from '../src/utils/timers.js';
import { RunLog, runFromHeaders } from './runLog.js';
import { StandinServer, sendJsonAnswer } from './standinServer.js';
import type { StandinRequest } from './standinServer.js';

/** Faults that can be injected. */
export interface EngineFaults {
  /**
   * `refuse` answers 503 without running the request; `lose-answer` runs it and closes the connection; `stall` runs it
   * and never answers.
   */
  requests: 'ok' | 'refuse' | 'lose-answer' | 'stall';
  /** Closes the connection of a stream after this many tokens; 0 for never. */
  cutStreamAfterTokens: number;
  orders: 'ok' | 'refuse';
}

/** Properties of the engine. */
export interface EngineOptions {
  /** Whether orders with an epoch lower than that of an earlier order are rejected (fencing). */
  checksFences: boolean;
  /** Number of requests that run concurrently. Further requests wait in the engine's queue. */
  slots: number;
  firstTokenMilliseconds: number;
  tokenMilliseconds: number;
}

interface ChatBody {
  model: string;
  stream?: boolean;
  max_tokens?: number;
  messages: { role: string; content: string }[];
}

interface Order {
  customer: string;
  model: string;
  version: string;
  epoch: number;
  weightsUrl?: string;
}

interface LoadedModel {
  active: string;
  /** SHA-256 of the data of each loaded version. */
  digests: Record<string, string>;
  epoch: number;
}

const DEFAULT_TOKENS = 4;

/** Runs a request on the version that it names if that is loaded, otherwise on the version active on its arrival. */
export class EngineStandin extends StandinServer<EngineFaults> {
  private readonly _options: EngineOptions;
  private readonly _models = new Map<string, LoadedModel>();
  private readonly _log = new RunLog();
  private _running = 0;
  private readonly _waiting: (() => void)[] = [];
  private _cancelled = 0;

  constructor(options: EngineOptions) {
    super({ requests: 'ok', cutStreamAfterTokens: 0, orders: 'ok' });
    this._options = options;
  }

  protected override async handle(request: StandinRequest): Promise<void> {
    const { url, response } = request;
    if (url.pathname === '/healthz') return sendJsonAnswer(response, 200, {});
    if (url.pathname === '/_runs') return sendJsonAnswer(response, 200, this._log.runs);
    if (url.pathname === '/_state') return sendJsonAnswer(response, 200, this._state());
    if (url.pathname.startsWith('/orders/')) return await this._handleOrder(request);
    await this._handleChat(request);
  }

  private _state(): unknown {
    return { models: Object.fromEntries(this._models), running: this._running, cancelled: this._cancelled };
  }

  private async _handleOrder({ url, body, response }: StandinRequest): Promise<void> {
    const order = body as Order;
    const key = `${order.customer}/${order.model}`;
    const model = this._models.get(key) ?? { active: '', digests: {}, epoch: 0 };
    this._models.set(key, model);
    if (this.faults.orders === 'refuse') return sendJsonAnswer(response, 503, { error: 'refusing orders' });
    if (this._options.checksFences && order.epoch < model.epoch)
      return sendJsonAnswer(response, 409, { error: 'fenced' });
    model.epoch = Math.max(model.epoch, order.epoch);
    const verb = url.pathname.slice('/orders/'.length);
    if (verb === 'load') model.digests[order.version] = await readDigest(String(order.weightsUrl));
    if (verb === 'unload') delete model.digests[order.version];
    if (verb === 'activate') {
      if (!model.digests[order.version])
        return sendJsonAnswer(response, 409, { error: 'version not loaded' });
      model.active = order.version;
    }
    sendJsonAnswer(response, 200, model);
  }

  private async _handleChat(request: StandinRequest): Promise<void> {
    const chat = request.body as ChatBody;
    const customer = String(request.headers['larklatch-customer'] ?? '');
    const version = this._versionFor(request, `${customer}/${chat.model}`);
    if (!version) return sendJsonAnswer(request.response, 404, { error: 'no such model' });
    if (this.faults.requests === 'refuse')
      return sendJsonAnswer(request.response, 503, { error: 'refusing' });
    await this._takeSlot();
    try {
      const content = chat.messages.at(-1)?.content ?? '';
      this._log.add(runFromHeaders(request.headers, version, content));
      request.response.setHeader('larklatch-version', version);
      await this._answer(request.response, chat, `${customer}/${chat.model}@${version}: ${content}`);
    } finally {
      this._releaseSlot();
    }
  }

  /** Returns the version that the request names if it is loaded, otherwise the active one. */
  private _versionFor(request: StandinRequest, model: string): string | undefined {
    const named = String(request.headers['larklatch-version'] ?? '');
    const loaded = this._models.get(model);
    return loaded?.digests[named] ? named : loaded?.active;
  }

  private async _answer(response: http.ServerResponse, chat: ChatBody, text: string): Promise<void> {
    await pause(this._options.firstTokenMilliseconds);
    if (this.faults.requests === 'stall') return;
    if (this.faults.requests === 'lose-answer') {
      response.destroy();
      return;
    }
    if (chat.stream) await this._sendStream(response, chat, text);
    else await this._sendAnswer(response, chat, text);
  }

  private async _sendAnswer(response: http.ServerResponse, chat: ChatBody, text: string): Promise<void> {
    await pause(this._options.tokenMilliseconds * tokensOf(chat));
    if (response.destroyed) this._cancelled++;
    sendJsonAnswer(response, 200, {
      object: 'chat.completion',
      choices: [{ message: { role: 'assistant', content: text } }],
    });
  }

  private async _sendStream(response: http.ServerResponse, chat: ChatBody, text: string): Promise<void> {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const tokens = tokensOf(chat);
    for (let token = 0; token < tokens; token++) {
      if (response.destroyed) {
        this._cancelled++;
        return;
      }
      if (this.faults.cutStreamAfterTokens > 0 && token >= this.faults.cutStreamAfterTokens) {
        response.destroy();
        return;
      }
      const content = token === 0 ? text : ` t${token}`;
      response.write(`data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`);
      await pause(this._options.tokenMilliseconds);
    }
    response.end('data: [DONE]\n\n');
  }

  private async _takeSlot(): Promise<void> {
    if (this._running >= this._options.slots)
      await new Promise<void>((resolve) => this._waiting.push(resolve));
    this._running++;
  }

  private _releaseSlot(): void {
    this._running--;
    this._waiting.shift()?.();
  }
}

function tokensOf(chat: ChatBody): number {
  return chat.max_tokens ?? DEFAULT_TOKENS;
}

async function readDigest(url: string): Promise<string> {
  const answer = await httpRequest(url);
  if (answer.statusCode !== 200) throw new Error(`weights: status ${answer.statusCode}`);
  const hash = createHash('sha256');
  for await (const piece of answer.body) hash.update(piece as Buffer);
  return hash.digest('hex');
}
