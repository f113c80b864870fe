/** What a box knows of one neighbour in one rollout. */
import { Bitset } from '../utils/bitset.js';

/** Corrupt chunks after which a peer is set aside for the rest of the rollout. */
const MAXIMUM_CORRUPT_CHUNKS = 2;

export class PeerView {
  readonly box: string;
  readonly crossDataCentre: boolean;
  readonly held: Bitset;
  connected = false;
  /** Fetches of this box that are under way from the peer. */
  inFlight = 0;
  /** The peer's upload queue as it last told. A hint. */
  uploadQueue = 0;
  private _corruptChunks = 0;
  private _avoidUntil = 0;

  constructor(box: string, crossDataCentre: boolean, chunkCount: number) {
    this.box = box;
    this.crossDataCentre = crossDataCentre;
    this.held = new Bitset(chunkCount);
  }

  /** Whether to ask the peer for a chunk at `now` (monotonic milliseconds). */
  isUsable(now: number): boolean {
    return this.connected && !this.isExcluded && now >= this._avoidUntil;
  }

  /** Whether the peer has sent too many corrupt chunks. */
  get isExcluded(): boolean {
    return this._corruptChunks > MAXIMUM_CORRUPT_CHUNKS;
  }

  /** Passes over the peer until `time`. */
  avoidUntil(time: number): void {
    this._avoidUntil = Math.max(this._avoidUntil, time);
  }

  countCorruptChunk(): void {
    this._corruptChunks++;
  }
}
