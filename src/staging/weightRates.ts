/** What of its link a box may use for weights. */
import type { StagingSettings } from '../settings/stagingSettings.js';

const BITS_PER_BYTE = 8;

/** Bytes a second of weights that this box may send. */
export function sendRate({ linkKilobits, weightSendShare }: StagingSettings): number {
  return linkShare(linkKilobits, weightSendShare);
}

/** Bytes a second of weights that this box may receive. */
export function receiveRate({ linkKilobits, weightReceiveShare }: StagingSettings): number {
  return linkShare(linkKilobits, weightReceiveShare);
}

function linkShare(kilobits: number, percent: number): number {
  return (kilobits * 1000 * (percent / 100)) / BITS_PER_BYTE;
}
