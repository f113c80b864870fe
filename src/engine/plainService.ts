/** A backend server without weights: load, activate and unload do nothing. */
import type { BackendServer } from './backendServer.js';
import { isHealthy } from './httpEngine.js';

/** Client of the plain service at `baseUrl`, which is only health-checked. */
export class PlainService implements BackendServer {
  private readonly _baseUrl: string;

  constructor(baseUrl: string) {
    this._baseUrl = baseUrl;
  }

  async load(): Promise<void> {}

  async activate(): Promise<void> {}

  async unload(): Promise<void> {}

  async healthy(): Promise<boolean> {
    return await isHealthy(this._baseUrl);
  }
}
