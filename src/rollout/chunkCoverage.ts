/** What a coordinator knows of the draws of one rollout, and which chunks need a grant. */
import { Bitset } from '../utils/bitset.js';

/** An agent's answer about one rollout. */
export interface Holdings {
  held: Uint8Array;
  openDraws: readonly number[];
}

/** Tracks holders and open grants by box. */
export class ChunkCoverage {
  private readonly _chunkCount: number;
  private readonly _held = new Map<string, Bitset>();
  private readonly _open = new Map<string, Set<number>>();

  constructor(chunkCount: number) {
    this._chunkCount = chunkCount;
  }

  /** Takes what a box holds and which of its draws are open. */
  setHoldings(box: string, holdings: Holdings): void {
    this._held.set(box, Bitset.fromBytes(this._chunkCount, holdings.held));
    this._open.set(box, new Set(holdings.openDraws));
  }

  /** Notes a grant. */
  addDraws(box: string, chunks: readonly number[]): void {
    const open = this._open.get(box) ?? new Set<number>();
    for (const chunk of chunks) open.add(chunk);
    this._open.set(box, open);
  }

  /** Notes that a box ended draws without a chunk. */
  removeDraws(box: string, chunks: readonly number[]): void {
    for (const chunk of chunks) this._open.get(box)?.delete(chunk);
  }

  /** Forgets a box that is lost or draws no longer. Returns whether it had open draws or chunks of its own. */
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

  /** Chunks that no known box holds or is drawing. */
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
