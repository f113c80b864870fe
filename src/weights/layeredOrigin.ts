import type { Manifest } from '../protocol/manifest.js';
import type { Origin, OriginRange } from '../external/origin.js';

/** Reads from the weight store, or from the origin if the store refuses the read. */
export class LayeredOrigin implements Origin {
  private readonly _store: Origin;
  private readonly _origin: Origin;

  constructor(store: Origin, origin: Origin) {
    this._store = store;
    this._origin = origin;
  }

  /** Always asks the origin, which alone determines the content of a version. */
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
