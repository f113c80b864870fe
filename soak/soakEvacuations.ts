/** Evacuates data centres of a soak, as the operator does. */
import { pause } from '../src/utils/timers.js';
import type { PlatformStoreStandin } from '../standins/platformStoreStandin.js';
import { BOUNDS } from './soakBounds.js';

const KIND = 'evacuations';

export class SoakEvacuations {
  private readonly _store: PlatformStoreStandin;
  private readonly _onEvacuation: (zone: string) => () => void;
  /** Number of evacuations of each data centre that have not ended. */
  private readonly _running = new Map<string, number>();

  /** `onEvacuation` is called when an evacuation begins; the function that it returns, when it ends. */
  constructor(store: PlatformStoreStandin, onEvacuation: (zone: string) => () => void) {
    this._store = store;
    this._onEvacuation = onEvacuation;
  }

  /** Evacuates a data centre until `milliseconds` after the bound, and resolves when the evacuation has ended. */
  async run(zone: string, milliseconds: number): Promise<void> {
    this._add(zone, 1);
    const end = this._onEvacuation(zone);
    await pause(BOUNDS.evacuate_ms + milliseconds);
    end();
    this._add(zone, -1);
  }

  /** Writes the evacuations again after a rollback of the store, and ends those that have ended. */
  rewrite(): void {
    for (const zone of this._running.keys()) this._write(zone);
  }

  private _add(zone: string, count: number): void {
    this._running.set(zone, (this._running.get(zone) ?? 0) + count);
    this._write(zone);
  }

  private _write(zone: string): void {
    const isEvacuated = (this._running.get(zone) ?? 0) > 0;
    if (isEvacuated) this._store.put(KIND, zone, {});
    else if (this._store.all(KIND).some(({ name }) => name === zone)) this._store.remove(KIND, zone);
  }
}
