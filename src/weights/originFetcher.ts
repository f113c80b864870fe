/** Draws granted chunks from the origin, one after the other. */
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

/** What a drawer works with. */
export interface OriginFetcherOptions {
  customer: string;
  index: ManifestIndex;
  origin: Origin;
  bounds: TransferBounds;
  counts: TransferCounts;
  random: Random;
  logger: Logger;
  signal: AbortSignal;
  /** Whether the version has memory set aside. */
  mayFetch: () => boolean;
  isHeld: (chunk: number) => boolean;
  isInFlight: (chunk: number) => boolean;
  /** Marks a chunk as being drawn; the returned function ends it. */
  begin: (chunk: number) => () => void;
  store: (chunk: number, data: Buffer) => void;
  onChange: () => void;
}

/** How a draw ended. `not-sent` cost the origin nothing and may be tried again under the same grant. */
type FetchOutcome = 'done' | 'failed' | 'not-sent';

/**
 * While the origin is gone, the boxes that draw from it, a dozen at most, ask again so often: a version can be needed most
 * just when the origin returns, and each wait is time in which nothing may be served once the bound of the older one is over.
 */
export const ORIGIN_RETRY_BACKOFF = { firstMilliseconds: 50, longestMilliseconds: 400 };

/** Each grant allows one attempt that takes bytes, so that the origin budget holds whatever fails. */
export class OriginFetcher {
  private readonly _options: OriginFetcherOptions;
  private _open: number[] = [];
  private readonly _failed = new Set<number>();
  /** Chunks that are drawn even while they are fetched from a neighbour. */
  private readonly _urgent = new Set<number>();
  private _isFetching = false;
  /** The chunk that is on its way from the origin. */
  private _current: number | undefined;
  /** Whether the turn of {@link _current} has passed to another box: it is not asked for again. */
  private _isCurrentReassigned = false;

  constructor(options: OriginFetcherOptions) {
    this._options = options;
  }

  /** Granted draws that have not ended, in order. */
  get open(): readonly number[] {
    return this._open;
  }

  /** Draws that took bytes and failed; each needs a new grant. */
  get failed(): number[] {
    return [...this._failed].filter((chunk) => !this._options.isHeld(chunk));
  }

  /** Queues draws. Those that are `urgent` do not wait for a fetch of the same chunk from a neighbour. */
  grant(chunks: readonly number[], urgent = false): void {
    if (urgent) for (const chunk of chunks) this._urgent.add(chunk);
    for (const chunk of chunks) {
      this._failed.delete(chunk);
      if (!this._options.isHeld(chunk) && !this._open.includes(chunk)) this._open.push(chunk);
    }
    this.resume();
  }

  /**
   * Gives up draws that have not begun, but for `chunks` and urgent ones: while the origin was gone their turn has passed to
   * other boxes. If each box went on with all that was ever its turn, the origin would send them several times when it is back.
   */
  keepOnly(chunks: readonly number[]): void {
    const kept = new Set([...chunks, ...this._urgent]);
    this._open = this._open.filter((chunk) => chunk === this._current || kept.has(chunk));
    this._isCurrentReassigned = this._current !== undefined && !kept.has(this._current);
  }

  /** Draws what is open, if the version has room. */
  resume(): void {
    if (this._options.mayFetch()) void this._fetchAll();
  }

  /** Gives up all draws that have not begun, so that they can be granted to another box. */
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
      const end = mustWait ? 'not-sent' : await this._fetch(chunk);
      if (end === 'not-sent') {
        if (this._isCurrentReassigned) this._removeOpen(chunk);
        await pause(backoff.nextWait(), this._options.signal);
        continue;
      }
      this._removeOpen(chunk);
      if (end === 'failed') this._failed.add(chunk);
      backoff.reset();
      this._options.onChange();
    }
    this._isFetching = false;
  }

  private _removeOpen(chunk: number): void {
    this._open = this._open.filter((open) => open !== chunk);
  }

  private async _fetch(chunk: number): Promise<FetchOutcome> {
    const { index, bounds, counts, logger, isHeld, begin, store } = this._options;
    if (isHeld(chunk)) return 'done';
    const before = counts.originBytes;
    const onBytes = (bytes: number): void => {
      counts.originBytes += bytes;
    };
    const end = begin(chunk);
    this._current = chunk;
    try {
      const open = (signal: AbortSignal): Promise<AsyncIterable<Buffer>> => this._read(chunk, signal);
      store(chunk, await receiveChunk(index.chunk(chunk), bounds, open, onBytes, 'origin'));
      return 'done';
    } catch (error) {
      if (error instanceof CorruptChunkError) counts.corruptChunks++;
      logger.decision('draw.failed', { chunk, reason: errorText(error) });
      return counts.originBytes > before ? 'failed' : 'not-sent';
    } finally {
      this._current = undefined;
      end();
    }
  }

  private async _read(chunk: number, signal: AbortSignal): Promise<AsyncIterable<Buffer>> {
    const { customer, index, origin } = this._options;
    const { model, version } = index.manifest;
    const range = { customer, model, version, offset: index.offset(chunk), length: index.chunk(chunk).size };
    return await origin.read(range, AbortSignal.any([signal, this._options.signal]));
  }
}
