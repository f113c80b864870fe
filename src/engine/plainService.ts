/** A plain service: it has no weights and takes no orders, so every order succeeds. */
import type { BackendServer } from './backendServer.js';
import { isHealthy } from './httpEngine.js';

/** The plain service at `baseUrl`. */
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
