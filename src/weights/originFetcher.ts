/** Fetches granted chunks from the origin, one after the other. Messages and logs call such a fetch a draw. */
import type { Origin } from '../external/origin.js';
import type { Logger } from '../telemetry/logger.js';
import { Backoff } from '../utils/backoff.js';
import type { Random } from '../utils/random.js';
import { errorText } from '../utils/stepError.js';
import { pause } from '../utils/timers.js';
import type { TransferBounds } from './chunkSource.js';
import { CorruptChunkError, receiveChunk } from './chunkSource.js';
import type { ManifestIndex } from './manifestIndex.js';
import type { TransferCounts } from './transferCounts.js';

export interface OriginFetcherOptions {
  customer: string;
  index: ManifestIndex;
  origin: Origin;
  bounds: TransferBounds;
  counts: TransferCounts;
  random: Random;
  logger: Logger;
  signal: AbortSignal;
  /** Whether memory is reserved for the version. */
  hasReservedMemory: () => boolean;
  isHeld: (chunk: number) => boolean;
  isInFlight: (chunk: number) => boolean;
  /** Marks a chunk as in flight, until the returned function is called. */
  markInFlight: (chunk: number) => () => void;
  store: (chunk: number, data: Buffer) => void;
  onChange: () => void;
}

/** Outcome of a fetch. After `not-sent`, no bytes were received, and the same grant allows another attempt. */
type FetchOutcome = 'done' | 'failed' | 'not-sent';

/**
 * Backoff while the origin is unreachable. It is short because a version may be needed urgently once the origin is
 * back: after the version deadline, boxes without the version cannot serve. At most a dozen boxes retry like this.
 */
export const ORIGIN_RETRY_BACKOFF = { firstMilliseconds: 50, longestMilliseconds: 400 };

/** Each grant allows one attempt that receives bytes, so that failures do not exceed the budget of origin bytes. */
export class OriginFetcher {
  private readonly _options: OriginFetcherOptions;
  private _open: number[] = [];
  private readonly _failed = new Set<number>();
  /** Chunks that are fetched from the origin even while they are being fetched from a neighbour. */
  private readonly _urgent = new Set<number>();
  private _isFetching = false;
  /** The chunk that is being fetched. */
  private _current: number | undefined;
  /** Whether {@link _current} is now assigned to another box, so that it is not retried here. */
  private _isCurrentReassigned = false;

  constructor(options: OriginFetcherOptions) {
    this._options = options;
  }

  /** Granted chunks whose fetch has not ended, in order. */
  get open(): readonly number[] {
    return this._open;
  }

  /** Chunks whose fetch failed after bytes were received; each needs a new grant. */
  get failed(): number[] {
    return [...this._failed].filter((chunk) => !this._options.isHeld(chunk));
  }

  /** Queues chunks. Those that are `urgent` do not wait for a fetch of the same chunk from a neighbour. */
  grant(chunks: readonly number[], urgent = false): void {
    if (urgent) for (const chunk of chunks) this._urgent.add(chunk);
    for (const chunk of chunks) {
      this._failed.delete(chunk);
      if (!this._options.isHeld(chunk) && !this._open.includes(chunk)) this._open.push(chunk);
    }
    this.resume();
  }

  /**
   * Removes all queued chunks except `chunks` and urgent ones: while the origin was unreachable, the others have been
   * assigned to other boxes. If each box kept every chunk that was ever assigned to it, the origin would send them
   * several times once it is back.
   */
  keepOnly(chunks: readonly number[]): void {
    const kept = new Set([...chunks, ...this._urgent]);
    this._open = this._open.filter((chunk) => chunk === this._current || kept.has(chunk));
    this._isCurrentReassigned = this._current !== undefined && !kept.has(this._current);
  }

  /** Fetches what is queued, if memory is reserved for the version. */
  resume(): void {
    if (this._options.hasReservedMemory()) void this._fetchAll();
  }

  /** Removes all queued chunks but the first, which may be in flight, so that they can be granted to another box. */
  dropPending(): void {
    this._open.splice(1);
  }

  private async _fetchAll(): Promise<void> {
    if (this._isFetching) return;
    this._isFetching = true;
    const backoff = new Backoff(ORIGIN_RETRY_BACKOFF, this._options.random);
    while (this._open.length > 0 && !this._options.signal.aborted) {
      const chunk = this._open[0];
      this._isCurrentReassigned = false;
      const mustWait = this._options.isInFlight(chunk) && !this._urgent.has(chunk);
      const outcome = mustWait ? 'not-sent' : await this._fetch(chunk);
      if (outcome === 'not-sent') {
        if (this._isCurrentReassigned) this._removeOpen(chunk);
        await pause(backoff.nextWait(), this._options.signal);
        continue;
      }
      this._removeOpen(chunk);
      if (outcome === 'failed') this._failed.add(chunk);
      backoff.reset();
      this._options.onChange();
    }
    this._isFetching = false;
  }

  private _removeOpen(chunk: number): void {
    this._open = this._open.filter((open) => open !== chunk);
  }

  private async _fetch(chunk: number): Promise<FetchOutcome> {
    const { index, bounds, counts, logger, isHeld, markInFlight, store } = this._options;
    if (isHeld(chunk)) return 'done';
    const originBytesBefore = counts.originBytes;
    const onBytes = (bytes: number): void => {
      counts.originBytes += bytes;
    };
    const clearInFlight = markInFlight(chunk);
    this._current = chunk;
    try {
      const open = (signal: AbortSignal): Promise<AsyncIterable<Buffer>> => this._read(chunk, signal);
      store(chunk, await receiveChunk(index.chunk(chunk), bounds, open, onBytes, 'origin'));
      return 'done';
    } catch (error) {
      if (error instanceof CorruptChunkError) counts.corruptChunks++;
      logger.decision('draw.failed', { chunk, reason: errorText(error) });
      return counts.originBytes > originBytesBefore ? 'failed' : 'not-sent';
    } finally {
      this._current = undefined;
      clearInFlight();
    }
  }

  private async _read(chunk: number, signal: AbortSignal): Promise<AsyncIterable<Buffer>> {
    const { customer, index, origin } = this._options;
    const { model, version } = index.manifest;
    const range = { customer, model, version, offset: index.offset(chunk), length: index.chunk(chunk).size };
    return await origin.read(range, AbortSignal.any([signal, this._options.signal]));
  }
}
