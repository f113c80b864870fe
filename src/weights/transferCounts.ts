/** Bytes that a rollout has moved to a box, by source. */
export interface TransferCounts {
  /** From the origin, wasted ones included. */
  originBytes: number;
  /** From agents of the own data centre. */
  peerBytes: number;
  /** From agents of other data centres. */
  crossDataCentreBytes: number;
  corruptChunks: number;
}
