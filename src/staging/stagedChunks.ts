/**
 * What lies staged from an earlier life of this process, read while it is not known yet which version is wanted: after a loss
 * of power all entries start as well, and an agent hears from them only when they do.
 */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';
import type { LocalBackend } from './localBackend.js';

/** A chunk as it lay there when it was asked for at `readAt`, in monotonic milliseconds. */
export interface StagedChunk {
  chunk: number;
  data: Buffer;
  readAt: number;
}

/** What the reading works with. */
export interface StagedChunksOptions {
  backend: Pick<LocalBackend, 'stagedChunks' | 'getChunk'>;
  /** Models of which a version has been named; rejects where that cannot be found out. */
  models: () => Promise<readonly string[]>;
  clock: Clock;
  log: EventLog;
}

/** Chunks that are read at the same time: one is checked while the next one is on its way. */
const LANES = 2;

export class StagedChunks {
  private readonly _options: StagedChunksOptions;
  private readonly _read = new Map<string, Promise<readonly StagedChunk[]>>();

  constructor(options: StagedChunksOptions) {
    this._options = options;
  }

  /** Begins to read. */
  start(): void {
    void this._readAll();
  }

  /** All that lies staged of `model`, and lets go of what was read of the others. Rejects when it cannot be read. */
  async take(model: string): Promise<readonly StagedChunk[]> {
    const reading = this._readOnce(model);
    this._read.clear();
    return await reading;
  }

  private async _readAll(): Promise<void> {
    const { models, log } = this._options;
    try {
      for (const model of await models()) await this._readOnce(model);
    } catch (error) {
      // read again when a version of the model is wanted
      this._read.clear();
      log.decision('chunks.not-read', { reason: errorText(error) });
    }
  }

  private async _readOnce(model: string): Promise<readonly StagedChunk[]> {
    let reading = this._read.get(model);
    if (!reading) {
      reading = this._readModel(model);
      this._read.set(model, reading);
    }
    return await reading;
  }

  private async _readModel(model: string): Promise<readonly StagedChunk[]> {
    const { backend, clock } = this._options;
    const left = (await backend.stagedChunks(model)).values();
    const found: StagedChunk[] = [];
    const readLane = async (): Promise<void> => {
      for (const chunk of left) {
        const readAt = clock.now();
        const data = await backend.getChunk(model, chunk);
        if (data) found.push({ chunk, data, readAt });
      }
    };
    await Promise.all(Array.from({ length: LANES }, readLane));
    return found;
  }
}
