/**
 * Tracks which chunks of a rollout are on some box or are being fetched from the origin. A box may fetch a chunk from
 * the origin only after the coordinator has granted it. Messages and log lines call an origin fetch a draw.
 */
import { Bitset } from '../utils/bitset.js';

/** What an agent reports about one rollout: a bitset of the chunks it holds, and its open origin fetches. */
export interface Holdings {
  held: Uint8Array;
  openDraws: readonly number[];
}

/** Held chunks and open origin fetches by box. */
export class ChunkCoverage {
  private readonly _chunkCount: number;
  private readonly _held = new Map<string, Bitset>();
  private readonly _open = new Map<string, Set<number>>();

  constructor(chunkCount: number) {
    this._chunkCount = chunkCount;
  }

  /** Replaces the held chunks and open origin fetches of a box. */
  setHoldings(box: string, holdings: Holdings): void {
    this._held.set(box, Bitset.fromBytes(this._chunkCount, holdings.held));
    this._open.set(box, new Set(holdings.openDraws));
  }

  /** Adds granted origin fetches to the open ones of a box. */
  addOriginFetches(box: string, chunks: readonly number[]): void {
    const open = this._open.get(box) ?? new Set<number>();
    for (const chunk of chunks) open.add(chunk);
    this._open.set(box, open);
  }

  /** Removes failed or refused origin fetches from the open ones of a box. */
  removeOriginFetches(box: string, chunks: readonly number[]): void {
    for (const chunk of chunks) this._open.get(box)?.delete(chunk);
  }

  /** Removes a box that is lost or stalled. Returns whether it had open origin fetches or held chunks. */
  removeBox(box: string): boolean {
    const mattered = (this._open.get(box)?.size ?? 0) > 0 || (this._held.get(box)?.count ?? 0) > 0;
    this._open.delete(box);
    this._held.delete(box);
    return mattered;
  }

  hasBox(box: string): boolean {
    return this._held.has(box);
  }

  boxes(): string[] {
    return [...new Set([...this._held.keys(), ...this._open.keys()])];
  }

  /** Returns the chunks that no known box holds or is fetching from the origin. */
  uncovered(): number[] {
    const covered = new Bitset(this._chunkCount);
    for (const held of this._held.values()) {
      for (let chunk = 0; chunk < this._chunkCount; chunk++) {
        if (held.has(chunk)) covered.add(chunk);
      }
    }
    for (const open of this._open.values()) {
      for (const chunk of open) covered.add(chunk);
    }
    return covered.missing();
  }
}
