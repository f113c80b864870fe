/** The share of its link that a box may use to transfer weights. */
import type { StagingSettings } from '../settings/stagingSettings.js';

const BITS_PER_BYTE = 8;

/** Rate in bytes per second at which this box may send weights. */
export function sendRate({ linkKilobits, weightSendShare }: StagingSettings): number {
  return linkShare(linkKilobits, weightSendShare);
}

/** Rate in bytes per second at which this box may receive weights. */
export function receiveRate({ linkKilobits, weightReceiveShare }: StagingSettings): number {
  return linkShare(linkKilobits, weightReceiveShare);
}

function linkShare(kilobits: number, percent: number): number {
  return (kilobits * 1000 * (percent / 100)) / BITS_PER_BYTE;
}
