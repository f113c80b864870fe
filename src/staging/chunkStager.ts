/** Lays the chunks of a version before the local backend server and verifies what lies there. */
import type { EventLog } from '../telemetry/eventLog.js';
import { sha256Hex } from '../utils/hash.js';
import { errorText } from '../utils/stepError.js';
import type { ManifestIndex } from '../weights/manifestIndex.js';
import type { Clock } from '../utils/clock.js';
import type { StagedChunk } from './stagedChunks.js';
import type { StagingArea } from './stagingArea.js';

/**
 * A chunk that was read back so lately need not be read again before an order: a chunk that turns bad after it was
 * read is taken as bad either way, and after a start of everything the second reading of all took 150 of 1,300 ms
 * until a server served.
 */
const READ_LATELY_MILLISECONDS = 1_000;
/** Rounds in which spoilt chunks are laid anew. */
const REPAIR_ROUNDS = 3;

/** What a stager works with. */
export interface ChunkStagerOptions {
  stagingArea: StagingArea;
  model: string;
  version: number;
  index: ManifestIndex;
  clock: Clock;
  log: EventLog;
}

/** One version on its way to the backend server. */
export class ChunkStager {
  private readonly _options: ChunkStagerOptions;
  /** Monotonic milliseconds at which chunks were last read back as the manifest says. */
  private readonly _goodAt = new Map<number, number>();
  /** What was laid since the place is this version's. */
  private readonly _laid = new Map<number, Buffer>();
  private _laidSince = Number.NEGATIVE_INFINITY;
  private readonly _waiting: { chunk: number; data: Buffer }[] = [];
  private _laying = false;
  private _stopped = false;

  constructor(options: ChunkStagerOptions) {
    this._options = options;
  }

  /** Lays a chunk as soon as those before it are laid and the place is free. */
  add(chunk: number, data: Buffer): void {
    this._waiting.push({ chunk, data });
    this._resume();
  }

  /**
   * Takes the place and lays what waits, and lays again what lay there before another version had it; false while
   * the place cannot be had.
   */
  async acquireStagingArea(): Promise<boolean> {
    const { stagingArea, version } = this._options;
    if (!(await stagingArea.acquire(version))) return false;
    if (this._laidSince !== stagingArea.ownedSince) this._layAgain();
    this._resume();
    return true;
  }

  /** Lays nothing more. */
  stop(): void {
    this._stopped = true;
  }

  /**
   * Reads all chunks back and lays those anew that differ; whether all are as the manifest says. Chunks that were
   * read a moment ago, and after `lifeSeenAt` in monotonic milliseconds, are not read again: before that they may
   * have lain before another life of the server, or another version may have been laid over them.
   */
  async verify(data: (chunk: number) => Buffer | undefined, lifeSeenAt: number): Promise<boolean> {
    const { index, model, log, stagingArea } = this._options;
    const readSince = Math.max(lifeSeenAt, stagingArea.ownedSince);
    const all = Array.from({ length: index.chunkCount }, (_unused, chunk) => chunk);
    let suspects = all.filter((chunk) => !this._wasReadLately(chunk, readSince));
    for (let round = 0; round < REPAIR_ROUNDS; round++) {
      const spoilt = await this._spoilt(suspects);
      if (spoilt.length === 0) return true;
      for (const chunk of spoilt) {
        const bytes = data(chunk);
        if (!bytes) return false;
        await this._lay(chunk, bytes);
      }
      if (this._laid.size > 0) log.state('chunks.laid-anew', { model, chunks: spoilt.length });
      suspects = spoilt;
    }
    return false;
  }

  /** Takes over those of the chunks that lie there already that are as the manifest says. */
  adopt(staged: readonly StagedChunk[], take: (chunk: number, data: Buffer) => void): void {
    for (const { chunk, data, readAt } of staged) {
      if (chunk >= this._options.index.chunkCount || !this._matches(chunk, data)) continue;
      this._goodAt.set(chunk, readAt);
      take(chunk, data);
    }
  }

  private _wasReadLately(chunk: number, readSince: number): boolean {
    const goodAt = this._goodAt.get(chunk) ?? Number.NEGATIVE_INFINITY;
    return goodAt > readSince && this._options.clock.now() - goodAt < READ_LATELY_MILLISECONDS;
  }

  private async _spoilt(suspects: readonly number[]): Promise<number[]> {
    const spoilt: number[] = [];
    for (const chunk of suspects) {
      const bytes = await this._options.stagingArea.read(this._options.model, chunk);
      if (!bytes || !this._matches(chunk, bytes)) spoilt.push(chunk);
    }
    return spoilt;
  }

  private _matches(chunk: number, bytes: Buffer): boolean {
    return sha256Hex(bytes) === this._options.index.chunk(chunk).digest;
  }

  private async _lay(chunk: number, data: Buffer): Promise<void> {
    const { stagingArea, model, version } = this._options;
    await stagingArea.write(model, version, chunk, data);
  }

  private _layAgain(): void {
    this._laidSince = this._options.stagingArea.ownedSince;
    for (const [chunk, data] of this._laid) this._waiting.push({ chunk, data });
    this._laid.clear();
  }

  private _resume(): void {
    if (!this._laying) void this._layWaiting();
  }

  private get _mayLay(): boolean {
    return !this._stopped && this._options.stagingArea.owner === this._options.version;
  }

  private async _layWaiting(): Promise<void> {
    this._laying = true;
    while (this._mayLay && this._waiting.length > 0) {
      const next = this._waiting.shift()!;
      try {
        await this._lay(next.chunk, next.data);
        this._laid.set(next.chunk, next.data);
      } catch (error) {
        const { log, version } = this._options;
        log.decision('chunk.not-laid', { version, chunk: next.chunk, reason: errorText(error) });
      }
    }
    this._laying = false;
  }
}
