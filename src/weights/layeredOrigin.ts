/** Asks the weight store first and the origin when the store cannot serve. */
import type { Manifest } from '../protocol/manifest.js';
import type { Origin, OriginRange } from '../external/origin.js';

/** Two origins, the cheaper one first. */
export class LayeredOrigin implements Origin {
  private readonly _store: Origin;
  private readonly _origin: Origin;

  constructor(store: Origin, origin: Origin) {
    this._store = store;
    this._origin = origin;
  }

  /** The origin alone says what a version holds. */
  async manifest(customer: string, model: string, version: string): Promise<Manifest> {
    return await this._origin.manifest(customer, model, version);
  }

  async read(range: OriginRange, signal: AbortSignal): Promise<AsyncIterable<Buffer>> {
    try {
      return await this._store.read(range, signal);
    } catch {
      return await this._origin.read(range, signal);
    }
  }
}
