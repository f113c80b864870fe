/**
 * When the staged chunks of a version were last read back intact. A reading says nothing about later times: a staged
 * chunk may be corrupted at any moment.
 */
import { sha256Hex } from '../utils/hash.js';
import type { Clock } from '../utils/clock.js';
import type { ManifestIndex } from '../weights/manifestIndex.js';
import { readEach } from './concurrentReads.js';
import type { StagingArea } from './stagingArea.js';

/** Options of {@link ChunkReadings}. */
export interface ChunkReadingsOptions {
  stagingArea: StagingArea;
  model: string;
  index: ManifestIndex;
  clock: Clock;
}

export class ChunkReadings {
  private readonly _options: ChunkReadingsOptions;
  /** Monotonic milliseconds at which the last reading of each chunk began, without those that were not intact. */
  private readonly _intactAt = new Map<number, number>();

  constructor(options: ChunkReadingsOptions) {
    this._options = options;
  }

  /** Monotonic milliseconds at which the oldest of the last readings began; minus infinity if a chunk has none. */
  get oldestAt(): number {
    if (this._intactAt.size < this._options.index.chunkCount) return Number.NEGATIVE_INFINITY;
    return Math.min(...this._intactAt.values());
  }

  /** Records a reading that began at `readAt`. Returns whether the chunk is intact. */
  note(chunk: number, data: Buffer | undefined, readAt: number): boolean {
    const { index } = this._options;
    const isIntact = data !== undefined && sha256Hex(data) === index.chunk(chunk).digest;
    if (isIntact) this._intactAt.set(chunk, readAt);
    else this._intactAt.delete(chunk);
    return isIntact;
  }

  /**
   * Reads the chunks whose last reading began at `since` (monotonic milliseconds) or earlier. Returns those that are
   * missing or corrupt. Throws a StepError if the server does not answer; chunks read until then need not be read again.
   */
  async readOlderThan(since: number): Promise<number[]> {
    const { index, stagingArea, model, clock } = this._options;
    const chunks = Array.from({ length: index.chunkCount }, (_unused, chunk) => chunk);
    const due = chunks.filter((chunk) => (this._intactAt.get(chunk) ?? Number.NEGATIVE_INFINITY) <= since);
    const corrupt: number[] = [];
    await readEach(due, async (chunk) => {
      const readAt = clock.now();
      if (!this.note(chunk, await stagingArea.read(model, chunk), readAt)) corrupt.push(chunk);
    });
    return corrupt.sort((a, b) => a - b);
  }
}
