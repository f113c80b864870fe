import { Bitset } from '../utils/bitset.js';

/** Corrupt chunks that are tolerated from a peer; with one more, it is excluded for the rest of the rollout. */
const MAXIMUM_CORRUPT_CHUNKS = 2;

/** How long a peer counts as slow after a slow transfer. A throttled link stays slow for 5 to 7 s at a time. */
const SLOW_MILLISECONDS = 2_000;

/** What a box knows about one neighbour in one rollout. */
export class PeerView {
  readonly box: string;
  readonly crossDataCentre: boolean;
  readonly held: Bitset;
  connected = false;
  /** Fetches from the peer that are in progress. */
  inFlight = 0;
  /** Length of the peer's upload queue as last reported; may be out of date. */
  uploadQueue = 0;
  private _corruptChunks = 0;
  private _avoidUntil = 0;
  private _slowUntil = 0;

  constructor(box: string, crossDataCentre: boolean, chunkCount: number) {
    this.box = box;
    this.crossDataCentre = crossDataCentre;
    this.held = new Bitset(chunkCount);
  }

  /** Whether chunks may be requested from the peer at `now`, in monotonic milliseconds. */
  isUsable(now: number): boolean {
    return this.connected && !this.isExcluded && now >= this._avoidUntil;
  }

  /** Whether the peer has sent too many corrupt chunks to be used any further. */
  get isExcluded(): boolean {
    return this._corruptChunks > MAXIMUM_CORRUPT_CHUNKS;
  }

  /** Makes the peer unusable until `time`. */
  avoidUntil(time: number): void {
    this._avoidUntil = Math.max(this._avoidUntil, time);
  }

  /** Whether a chunk took long to arrive from the peer a moment ago, so that others are preferred. */
  isSlow(now: number): boolean {
    return now < this._slowUntil;
  }

  markSlow(now: number): void {
    this._slowUntil = now + SLOW_MILLISECONDS;
  }

  countCorruptChunk(): void {
    this._corruptChunks++;
  }
}
