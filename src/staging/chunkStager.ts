/** Writes the chunks of a version to the staging area of the local backend server and verifies the staged chunks. */
import type { EventLog } from '../telemetry/eventLog.js';
import { errorText } from '../utils/stepError.js';
import type { ManifestIndex } from '../weights/manifestIndex.js';
import type { Clock } from '../utils/clock.js';
import { ChunkReadings } from './chunkReadings.js';
import { freshSince } from './loadDecisions.js';
import type { StagedChunk } from './stagedChunks.js';
import type { StagingArea } from './stagingArea.js';

/** Maximum number of rounds in which corrupt chunks are written again and read back. */
const REPAIR_ROUNDS = 3;

/** Options of a {@link ChunkStager}. */
export interface ChunkStagerOptions {
  stagingArea: StagingArea;
  model: string;
  version: number;
  index: ManifestIndex;
  clock: Clock;
  log: EventLog;
}

/** Stages the chunks of one version. */
export class ChunkStager {
  private readonly _options: ChunkStagerOptions;
  private readonly _readings: ChunkReadings;
  /** Chunks that were written since this version acquired the staging area. */
  private readonly _written = new Map<number, Buffer>();
  private _writtenSince = Number.NEGATIVE_INFINITY;
  private readonly _queue: { chunk: number; data: Buffer }[] = [];
  private _isWriting = false;
  /** The last run of the write queue. */
  private _writing = Promise.resolve();
  private _stopped = false;

  constructor(options: ChunkStagerOptions) {
    this._options = options;
    this._readings = new ChunkReadings(options);
  }

  /** Queues a chunk, which is written after the chunks before it while this version owns the staging area. */
  add(chunk: number, data: Buffer): void {
    this._queue.push({ chunk, data });
    this._startWriting();
  }

  /**
   * Acquires the staging area for this version and writes the queued chunks, and those that another version may
   * have overwritten. Returns false if the area cannot be acquired yet.
   */
  async acquireStagingArea(): Promise<boolean> {
    const { stagingArea, version } = this._options;
    if (!(await stagingArea.acquire(version))) return false;
    if (this._writtenSince !== stagingArea.ownedSince) this._requeueWritten();
    this._startWriting();
    return true;
  }

  /** See {@link ChunkReadings.oldestAt}. */
  get oldestReadingAt(): number {
    return this._readings.oldestAt;
  }

  /** Stops writing chunks. */
  stop(): void {
    this._stopped = true;
  }

  /**
   * Reads the staged chunks back and writes those again that do not match the manifest. Returns whether all match
   * in the end. A chunk that was read a moment ago is not read again, with two exceptions: it was read before `since`
   * (monotonic milliseconds), so possibly from an earlier incarnation of the server, or before this version acquired
   * the staging area, so that another version may have overwritten it.
   */
  async verify(data: (chunk: number) => Buffer | undefined, since: number): Promise<boolean> {
    const { model, log, stagingArea, clock } = this._options;
    await this._writing;
    const validSince = Math.max(since, stagingArea.ownedSince, freshSince(clock.now()));
    for (let round = 0; round < REPAIR_ROUNDS; round++) {
      const corrupt = await this._readings.readOlderThan(validSince);
      if (corrupt.length === 0) return true;
      for (const chunk of corrupt) {
        const bytes = data(chunk);
        if (!bytes) return false;
        await this._write(chunk, bytes);
      }
      if (this._written.size > 0) log.state('chunks.laid-anew', { model, chunks: corrupt.length });
    }
    return false;
  }

  /** Reads the chunks that were last read at `since` or earlier; see {@link ChunkReadings.readOlderThan}. */
  async readOlderThan(since: number): Promise<number[]> {
    return await this._readings.readOlderThan(since);
  }

  /** Passes the staged chunks that match the manifest to `take`, and records when they were read. */
  adopt(staged: readonly StagedChunk[], take: (chunk: number, data: Buffer) => void): void {
    for (const { chunk, data, readAt } of staged) {
      if (chunk < this._options.index.chunkCount && this._readings.note(chunk, data, readAt))
        take(chunk, data);
    }
  }

  private async _write(chunk: number, data: Buffer): Promise<void> {
    const { stagingArea, model, version } = this._options;
    await stagingArea.write(model, version, chunk, data);
  }

  private _requeueWritten(): void {
    this._writtenSince = this._options.stagingArea.ownedSince;
    for (const [chunk, data] of this._written) this._queue.push({ chunk, data });
    this._written.clear();
  }

  private _startWriting(): void {
    if (!this._isWriting) this._writing = this._writeQueue();
  }

  private get _mayWrite(): boolean {
    return !this._stopped && this._options.stagingArea.mayWrite(this._options.version);
  }

  private async _writeQueue(): Promise<void> {
    this._isWriting = true;
    while (this._mayWrite && this._queue.length > 0) {
      const next = this._queue.shift()!;
      try {
        await this._write(next.chunk, next.data);
        this._written.set(next.chunk, next.data);
      } catch (error) {
        const { log, version } = this._options;
        log.decision('chunk.not-laid', { version, chunk: next.chunk, reason: errorText(error) });
      }
    }
    this._isWriting = false;
  }
}
