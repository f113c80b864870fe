/** A backend server in memory that takes as long as a real one to load a version. */
import type { LocalBackend, LocalBackendStatus, OrderOutcome } from '../src/staging/localBackend.js';
import { pause } from '../src/utils/timers.js';
import type { WeightsShape } from '../standins/weightsFixture.js';
import { versionChunk } from '../standins/weightsFixture.js';

const LOAD_MILLISECONDS = 400;
const CHUNK_CALL_MILLISECONDS = 3;

/** Serves version 1 until it is ordered to load version 2 from the staged chunks. */
export class SwitchBackend implements LocalBackend {
  readonly staged = new Map<number, Buffer>();
  version = 1;
  corruptLoads = 0;
  private _orders = 0;
  private _busy = false;

  constructor(private readonly _shape: WeightsShape) {}

  async status(): Promise<LocalBackendStatus> {
    const versions = new Map([[this._shape.model, this.version]]);
    const running = this._busy ? 0 : 8;
    return { versions, busy: this._busy, revision: this._orders, running, queued: 0, startedAt: 1 };
  }

  async putChunk(_model: string, chunk: number, data: Buffer): Promise<void> {
    await pause(CHUNK_CALL_MILLISECONDS);
    this.staged.set(chunk, data);
  }

  async getChunk(_model: string, chunk: number): Promise<Buffer | undefined> {
    await pause(CHUNK_CALL_MILLISECONDS);
    return this.staged.get(chunk);
  }

  async stagedChunks(): Promise<number[]> {
    return [...this.staged.keys()];
  }

  async startVersion(_model: string, version: number, revision: number): Promise<OrderOutcome> {
    if (revision !== this._orders || this._busy) return 'refused';
    this._orders++;
    this._busy = true;
    for (let chunk = 0; chunk < this._shape.chunks; chunk++) {
      if (!this.staged.get(chunk)?.equals(versionChunk(this._shape, version, chunk))) this.corruptLoads++;
    }
    setTimeout(() => {
      this._busy = false;
      this.version = version;
    }, LOAD_MILLISECONDS);
    return 'begun';
  }
}
