/** Computes a lower bound of the time that a rollout takes. */

/** Rates and sizes of a rollout, in bytes and seconds. */
export interface LinkModel {
  modelBytes: number;
  boxes: number;
  originBytesPerSecond: number;
  boxBytesPerSecond: number;
}

/**
 * Returns the lower bound for full-duplex links when data flows without granularity or latency: the origin sends at
 * least one copy, each box receives one copy, and the origin and the boxes together send all that boxes receive.
 */
export function boundSeconds({
  modelBytes,
  boxes,
  originBytesPerSecond,
  boxBytesPerSecond,
}: LinkModel): number {
  const fromOrigin = modelBytes / originBytesPerSecond;
  const intoBox = modelBytes / boxBytesPerSecond;
  const allCopies = (boxes * modelBytes) / (originBytesPerSecond + boxes * boxBytesPerSecond);
  return Math.max(fromOrigin, intoBox, allCopies);
}
