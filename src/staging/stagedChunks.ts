/**
 * Reads the chunks that an earlier incarnation of the agent has staged, before the agent knows the target version.
 * After a power loss the entries start at the same time, and the agent learns the version only once one of them is up.
 */
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';
import { readEach } from './concurrentReads.js';
import type { LocalBackend } from './localBackend.js';

/** A staged chunk whose reading began at `readAt`, in monotonic milliseconds. */
export interface StagedChunk {
  chunk: number;
  data: Buffer;
  readAt: number;
}

/** Options of {@link StagedChunks}. */
export interface StagedChunksOptions {
  backend: Pick<LocalBackend, 'stagedChunks' | 'getChunk'>;
  /** Returns the models with an announced version; rejects if these cannot be read. */
  models: () => Promise<readonly string[]>;
  clock: Clock;
  log: EventLog;
}

export class StagedChunks {
  private readonly _options: StagedChunksOptions;
  private readonly _readings = new Map<string, Promise<readonly StagedChunk[]>>();

  constructor(options: StagedChunksOptions) {
    this._options = options;
  }

  /** Starts reading. */
  start(): void {
    void this._readAll();
  }

  /** Returns all staged chunks of `model` and releases those of other models. Rejects if they cannot be read. */
  async take(model: string): Promise<readonly StagedChunk[]> {
    const reading = this._readOnce(model);
    this._readings.clear();
    return await reading;
  }

  private async _readAll(): Promise<void> {
    const { models, log } = this._options;
    try {
      for (const model of await models()) await this._readOnce(model);
    } catch (error) {
      // They are read again when a version of the model becomes the target.
      this._readings.clear();
      log.decision('chunks.not-read', { reason: errorText(error) });
    }
  }

  private async _readOnce(model: string): Promise<readonly StagedChunk[]> {
    let reading = this._readings.get(model);
    if (!reading) {
      reading = this._readModel(model);
      this._readings.set(model, reading);
    }
    return await reading;
  }

  private async _readModel(model: string): Promise<readonly StagedChunk[]> {
    const { backend, clock } = this._options;
    const found: StagedChunk[] = [];
    await readEach(await backend.stagedChunks(model), async (chunk) => {
      const readAt = clock.now();
      const data = await backend.getChunk(model, chunk);
      if (data) found.push({ chunk, data, readAt });
    });
    return found;
  }
}
