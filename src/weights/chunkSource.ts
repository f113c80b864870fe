/** Reads one chunk from somewhere else, paced and verified. */
import { createHash } from 'node:crypto';
import type { ChunkDescription } from '../protocol/manifest.js';
import type { RateLimiter } from '../utils/rateLimiter.js';
import { StepError } from '../utils/stepError.js';

/** A chunk arrived whole but with other content. */
export class CorruptChunkError extends StepError {}

/** Bounds of one transfer. */
export interface TransferBounds {
  /** Silence after which a transfer counts as stalled, in milliseconds. */
  stallMilliseconds: number;
  /** Paces the box's incoming link. */
  incoming: RateLimiter;
  /** Fetches from peers under way at the same time; what they ask for queues on the incoming link. */
  fetchesAtOnce: number;
  /** How long a gateway waits for each connected one that comes before it to bring a chunk into the data centre. */
  importStepMilliseconds: number;
}

/**
 * Reads a chunk from `open` and verifies it. Aborts when the source is silent for too long.
 * `onBytes` hears of every byte received, wasted or not.
 */
export async function receiveChunk(
  description: ChunkDescription,
  bounds: TransferBounds,
  open: (signal: AbortSignal) => Promise<AsyncIterable<Buffer>>,
  onBytes: (bytes: number) => void,
  peer: string,
): Promise<Buffer> {
  const abort = new AbortController();
  const stallTimer = setTimeout(() => abort.abort(), bounds.stallMilliseconds);
  const data = Buffer.allocUnsafeSlow(description.size);
  const hash = createHash('sha256');
  let received = 0;
  try {
    for await (const piece of await open(abort.signal)) {
      onBytes(piece.length);
      if (received + piece.length > data.length)
        throw new CorruptChunkError('chunk.receive', 'too long', { peer });
      piece.copy(data, received);
      received += piece.length;
      hash.update(piece);
      await bounds.incoming.acquire(piece.length);
      stallTimer.refresh();
    }
  } catch (error) {
    if (abort.signal.aborted) throw new StepError('chunk.receive', 'stalled', { peer, cause: error });
    throw error;
  } finally {
    clearTimeout(stallTimer);
  }
  if (received < data.length) throw new StepError('chunk.receive', 'ended early', { peer });
  if (hash.digest('hex') !== description.digest)
    throw new CorruptChunkError('chunk.receive', 'wrong digest', { peer });
  return data;
}
