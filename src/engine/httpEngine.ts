/** Client of a model engine that is controlled over HTTP with JSON. */
import { sendJson } from '../external/httpClient.js';
import { StepError } from '../utils/stepError.js';
import type { BackendServer, LoadOrder, VersionOrder } from './backendServer.js';

const ORDER_TIMEOUT_MILLISECONDS = 10_000;
const LOAD_TIMEOUT_MILLISECONDS = 300_000;
const HEALTH_TIMEOUT_MILLISECONDS = 1_000;

/** Sends orders to the engine at `baseUrl`. */
export class HttpEngine implements BackendServer {
  private readonly _baseUrl: string;

  constructor(baseUrl: string) {
    this._baseUrl = baseUrl;
  }

  async load(order: LoadOrder): Promise<void> {
    await this._order('load', order, LOAD_TIMEOUT_MILLISECONDS);
  }

  async activate(order: VersionOrder): Promise<void> {
    await this._order('activate', order, ORDER_TIMEOUT_MILLISECONDS);
  }

  async unload(order: VersionOrder): Promise<void> {
    await this._order('unload', order, ORDER_TIMEOUT_MILLISECONDS);
  }

  async healthy(): Promise<boolean> {
    return await isHealthy(this._baseUrl);
  }

  private async _order(verb: string, order: VersionOrder, timeoutMilliseconds: number): Promise<void> {
    const step = `engine.${verb}`;
    const url = `${this._baseUrl}/orders/${verb}`;
    const answer = await sendJson({ step, method: 'POST', url, body: order, timeoutMilliseconds });
    if (answer.status === 200) return;
    const detail = JSON.stringify(answer.body ?? '');
    throw new StepError(step, `status ${answer.status} ${detail}`, { peer: new URL(url).host });
  }
}

/** Whether `/healthz` of the backend server at `baseUrl` answers with status 200. */
export async function isHealthy(baseUrl: string): Promise<boolean> {
  try {
    const url = `${baseUrl}/healthz`;
    const step = 'backend.health';
    const answer = await sendJson({
      step,
      method: 'GET',
      url,
      timeoutMilliseconds: HEALTH_TIMEOUT_MILLISECONDS,
    });
    return answer.status === 200;
  } catch {
    return false;
  }
}
