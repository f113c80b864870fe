/** Decides which chunks have to be read again before an order, and which layers to load again after it. Pure functions. */
import type { LocalBackendStatus, LayerRange } from './localBackend.js';

/**
 * An order is not sent with older readings, which would let a server load chunks that have been corrupt for long. The
 * check after the order finds any chunk that was corrupted since; this one only saves loads that would be in vain.
 */
const MAX_READING_AGE_MILLISECONDS = 2_000;
/** Chunks with younger readings are not read again when others are. */
const FRESH_READING_AGE_MILLISECONDS = 1_000;
/** Number of repeated checks that end with old readings: where reading takes long, some are always old. */
const MAX_SLOW_CHECKS = 2;

/** An order is repeated if it has had no effect for this long although the backend server is idle. */
const IDLE_ORDER_TIMEOUT_MILLISECONDS = 300;
/** An order is repeated if it has had no effect for this long while the backend server is busy. */
const BUSY_ORDER_TIMEOUT_MILLISECONDS = 6_000;

/** Returns the monotonic milliseconds after which a chunk has to have been read, as of `now`. */
export function freshSince(now: number): number {
  return now - FRESH_READING_AGE_MILLISECONDS;
}

/** Whether to read chunks again before an order; `slowChecks` were repeated before and ended with old readings. */
export function needsCheck(oldestReadingAt: number, now: number, slowChecks: number): boolean {
  return slowChecks < MAX_SLOW_CHECKS && now - oldestReadingAt > MAX_READING_AGE_MILLISECONDS;
}

/** Whether an order has had no effect for so long, in milliseconds, that it has to be repeated. */
export function isOrderLost(waited: number, status: Pick<LocalBackendStatus, 'busy'>): boolean {
  return waited > (status.busy ? BUSY_ORDER_TIMEOUT_MILLISECONDS : IDLE_ORDER_TIMEOUT_MILLISECONDS);
}

/** Returns the layers that contain any of `chunks`; a chunk at the border of two layers belongs to both. */
export function layersOfChunks(chunks: readonly number[], chunkCount: number, layerCount: number): number[] {
  const isPartOf = (chunk: number, layer: number): boolean =>
    chunk >= Math.floor((layer * chunkCount) / layerCount) &&
    chunk < Math.ceil(((layer + 1) * chunkCount) / layerCount);
  const layers = Array.from({ length: layerCount }, (_unused, layer) => layer);
  return layers.filter((layer) => chunks.some((chunk) => isPartOf(chunk, layer)));
}

/**
 * Returns the layers that a server keeps while it releases `doubtful` ones to load them again: the longest range
 * without any at either end of the model. If both ends are doubtful, it is the first half, and the layers in it remain
 * doubtful.
 */
export function layersToKeep(doubtful: readonly number[], layerCount: number): LayerRange {
  const before = { first: 0, end: Math.min(...doubtful) };
  const after = { first: Math.max(...doubtful) + 1, end: layerCount };
  const longest = sizeOf(after) > sizeOf(before) ? after : before;
  return sizeOf(longest) > 0 ? longest : { first: 0, end: Math.floor(layerCount / 2) };
}

/**
 * Returns the layers that are doubtful after all but `kept` were loaded again: those of before that were kept, and those
 * of `corrupt` that were loaded again.
 */
export function stillDoubtful(
  doubtful: readonly number[],
  corrupt: readonly number[],
  kept: LayerRange,
): number[] {
  const isKept = (layer: number): boolean => layer >= kept.first && layer < kept.end;
  return [...doubtful.filter(isKept), ...corrupt.filter((layer) => !isKept(layer))];
}

/** Whether the server holds exactly these layers, as far as it reports them. */
export function holds({ layers }: Pick<LocalBackendStatus, 'layers'>, { first, end }: LayerRange): boolean {
  return layers?.first === first && layers.end === end;
}

function sizeOf({ first, end }: LayerRange): number {
  return end - first;
}
