/** The shortest time in which a rollout could end. */

/** Rates and sizes of a rollout, in bytes and seconds. */
export interface LinkModel {
  modelBytes: number;
  boxes: number;
  originBytesPerSecond: number;
  boxBytesPerSecond: number;
}

/**
 * The fluid bound with full-duplex links: the origin sends one copy, each box receives one copy, and all that boxes
 * receive is sent by the origin or by boxes.
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
