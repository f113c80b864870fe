/** Fetches missing chunks from neighbours until the version is complete. */
import type { Member } from '../protocol/rolloutMessages.js';
import type { Logger } from '../telemetry/logger.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import { errorText } from '../utils/stepError.js';
import type { ChunkPicker, ChunkPick } from './chunkPicker.js';
import type { TransferBounds } from './chunkSource.js';
import { CorruptChunkError, receiveChunk } from './chunkSource.js';
import type { ManifestIndex } from './manifestIndex.js';
import type { PeerChunkClient } from './peerChunkClient.js';
import { PeerBusyError } from './peerChunkClient.js';
import type { PeerView } from './peerView.js';
import type { TransferCounts } from './transferCounts.js';

export interface PeerFetcherOptions {
  rollout: string;
  index: ManifestIndex;
  picker: ChunkPicker;
  client: PeerChunkClient;
  bounds: TransferBounds;
  counts: TransferCounts;
  clock: Clock;
  random: Random;
  logger: Logger;
  signal: AbortSignal;
  member: (box: string) => Member | undefined;
  isComplete: () => boolean;
  /** Whether fetches may start now. Called again after a short while if not. */
  mayFetch: () => boolean;
  /** Stores a verified chunk; `crossDataCentre` says whether it came from another data centre. */
  store: (chunk: number, data: Buffer, crossDataCentre: boolean) => void;
}

/** How long to wait before checking again when there is nothing to fetch. */
const IDLE_RETRY_MILLISECONDS = 25;
/** How long a busy peer is avoided, at the least; at random up to twice as long. */
const BUSY_PEER_MILLISECONDS = 80;
/** How long a peer is avoided after a fetch from it has failed. */
const FAILED_PEER_MILLISECONDS = 500;

/**
 * Time from the request after which a chunk counts as overdue. A chunk of 32 KiB takes 60 ms over a free link of
 * 5 Mbit/s, 400 ms with the time in the upload queue and both links shared, and 1 to 3 s over a throttled link.
 */
const OVERDUE_MILLISECONDS = 800;
/** Overdue fetches that go on beside those that replace them; more would crowd the incoming link if it is slow itself. */
const MAXIMUM_OVERDUE = 2;

interface RunningFetch {
  chunk: number;
  peer: PeerView;
  /** Aborted once the chunk has arrived from another peer. */
  cancelled: AbortController;
  /** Whether another peer may send the chunk too. */
  isOverdue: boolean;
  overdueTimer?: NodeJS.Timeout;
}

export class PeerFetcher {
  private readonly _options: PeerFetcherOptions;
  private readonly _running = new Set<RunningFetch>();
  private _idleTimer: NodeJS.Timeout | undefined;

  constructor(options: PeerFetcherOptions) {
    this._options = options;
  }

  /** Starts as many fetches as the limit and the available chunks allow. */
  fill(): void {
    while (this._canStartFetch()) {
      const pick = this._options.mayFetch() ? this._options.picker.next() : undefined;
      if (!pick) {
        this._retryWhenIdle();
        return;
      }
      void this._fetch(pick);
    }
  }

  /** Number of fetches in progress, without overdue ones. */
  get fetching(): number {
    return [...this._running].filter(({ isOverdue }) => !isOverdue).length;
  }

  stop(): void {
    clearTimeout(this._idleTimer);
  }

  private _canStartFetch(): boolean {
    const { isComplete, signal } = this._options;
    return this.fetching < this._options.bounds.fetchesAtOnce && !isComplete() && !signal.aborted;
  }

  private _retryWhenIdle(): void {
    if (this._idleTimer) return;
    this._idleTimer = setTimeout(() => {
      this._idleTimer = undefined;
      this.fill();
    }, IDLE_RETRY_MILLISECONDS);
  }

  private async _fetch({ chunk, peer }: ChunkPick): Promise<void> {
    const { picker, store, logger, rollout } = this._options;
    const fetch: RunningFetch = { chunk, peer, cancelled: new AbortController(), isOverdue: false };
    this._running.add(fetch);
    peer.inFlight++;
    picker.markInFlight(chunk);
    logger.decision('chunk.fetch', { rollout, chunk, peer: peer.box });
    try {
      store(chunk, await this._receive(fetch), peer.crossDataCentre);
      this._cancelOthers(fetch);
    } catch (error) {
      if (!fetch.cancelled.signal.aborted) this._onFailed(peer, error);
    } finally {
      this._running.delete(fetch);
      clearTimeout(fetch.overdueTimer);
      peer.inFlight--;
      if (!fetch.isOverdue) picker.clearInFlight(chunk);
      this.fill();
    }
  }

  private async _receive(fetch: RunningFetch): Promise<Buffer> {
    const { index, bounds, counts } = this._options;
    const { chunk, peer, cancelled } = fetch;
    const open = async (signal: AbortSignal): Promise<AsyncIterable<Buffer>> => {
      fetch.overdueTimer = setTimeout(() => this._onOverdue(fetch), OVERDUE_MILLISECONDS);
      return await this._open(chunk, peer, AbortSignal.any([signal, cancelled.signal]));
    };
    const onBytes = (bytes: number): void => {
      counts[peer.crossDataCentre ? 'crossDataCentreBytes' : 'peerBytes'] += bytes;
    };
    return await receiveChunk(index.chunk(chunk), bounds, open, onBytes, peer.box);
  }

  /** Lets another peer send the chunk as well; the first to arrive counts. */
  private _onOverdue(fetch: RunningFetch): void {
    const { clock, counts, logger, rollout, picker } = this._options;
    const { chunk, peer } = fetch;
    peer.markSlow(clock.now());
    counts.overdueChunks++;
    const overdue = [...this._running].filter(({ isOverdue }) => isOverdue).length;
    if (overdue >= MAXIMUM_OVERDUE || !picker.isSlow(peer) || picker.holders(chunk).length < 2) return;
    fetch.isOverdue = true;
    logger.decision('chunk.overdue', { rollout, chunk, peer: peer.box });
    picker.clearInFlight(chunk);
    this.fill();
  }

  private _cancelOthers(arrived: RunningFetch): void {
    for (const fetch of this._running) {
      if (fetch !== arrived && fetch.chunk === arrived.chunk) fetch.cancelled.abort();
    }
  }

  private async _open(chunk: number, peer: PeerView, signal: AbortSignal): Promise<AsyncIterable<Buffer>> {
    const { client, rollout, member } = this._options;
    const from = member(peer.box);
    if (!from) throw new CancelledFetchError('the peer left the rollout');
    const opened = await client.open(from, rollout, chunk, AbortSignal.any([signal, this._options.signal]));
    peer.uploadQueue = opened.uploadQueue;
    return opened.body;
  }

  private _onFailed(peer: PeerView, error: unknown): void {
    const { clock, random, logger, rollout, signal } = this._options;
    if (signal.aborted) return;
    if (error instanceof PeerBusyError) {
      peer.avoidUntil(clock.now() + BUSY_PEER_MILLISECONDS * (1 + random.fraction()));
      return;
    }
    if (error instanceof CorruptChunkError) this._countCorrupt(peer);
    peer.avoidUntil(clock.now() + FAILED_PEER_MILLISECONDS);
    logger.decision('chunk.failed', { rollout, peer: peer.box, reason: errorText(error) });
  }

  private _countCorrupt(peer: PeerView): void {
    const { counts, logger, rollout } = this._options;
    counts.corruptChunks++;
    peer.countCorruptChunk();
    if (peer.isExcluded) logger.state('peer.set-aside', { rollout, peer: peer.box });
  }
}

/** A fetch that became unnecessary before it was sent. */
class CancelledFetchError extends Error {}
