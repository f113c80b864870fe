/** Bytes that a box has received for a rollout, by source, and its corrupt and overdue chunks. */
export interface TransferCounts {
  /** From the origin, including failed fetches. */
  originBytes: number;
  /** From agents in the own data centre. */
  peerBytes: number;
  /** From agents in other data centres. */
  crossDataCentreBytes: number;
  corruptChunks: number;
  /** Chunks from agents that were overdue. */
  overdueChunks: number;
}
