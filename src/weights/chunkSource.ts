/** Receives a chunk from a peer or the origin: limits its rate and verifies its digest. */
import { createHash } from 'node:crypto';
import type { ChunkDescription } from '../protocol/manifest.js';
import type { RateLimiter } from '../utils/rateLimiter.js';
import { StepError } from '../utils/stepError.js';

/** The received bytes are not those of the chunk: too many, or with another digest. */
export class CorruptChunkError extends StepError {}

/** Limits of transfers. */
export interface TransferBounds {
  /** Time without data after which a transfer is aborted, in milliseconds. */
  stallMilliseconds: number;
  /** Limits the rate of what the box receives. */
  incoming: RateLimiter;
  /** Most concurrent fetches from peers. They share the incoming link. */
  fetchesAtOnce: number;
  /** How long a gateway leaves a chunk to each connected gateway before it in the order of Topology.importers. */
  importStepMilliseconds: number;
}

/**
 * Reads a chunk from the stream that `open` returns and verifies it. Aborts when the stream stalls.
 * Calls `onBytes` for all received bytes, also when the transfer fails.
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
