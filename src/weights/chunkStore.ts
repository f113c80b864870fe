/** Verified chunks in bounded memory, kept apart by customer. */
import type { ChunkDescription } from '../protocol/manifest.js';

/** Whether memory could be set aside. */
export type RetainOutcome = 'retained' | 'full';

/** A chunk that some owner wants kept, whether it has come yet or not. */
interface Retained {
  size: number;
  owners: number;
}

/**
 * Keeps chunks by customer and digest. The same digest of two customers is two entries, so that knowing
 * a digest tells a customer nothing about another. Memory is set aside before a transfer begins, so a transfer that
 * has begun never runs out of it; chunks that nobody retains are dropped.
 */
export class ChunkStore {
  readonly limitBytes: number;
  private readonly _chunks = new Map<string, Buffer>();
  private readonly _retained = new Map<string, Retained>();
  private readonly _owners = new Map<string, string[]>();
  private _usedBytes = 0;
  private _retainedBytes = 0;

  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  /** Bytes of the chunks that are here. */
  get usedBytes(): number {
    return this._usedBytes;
  }

  /** Bytes that are set aside, for chunks that are here and chunks to come. */
  get retainedBytes(): number {
    return this._retainedBytes;
  }

  has(customer: string, digest: string): boolean {
    return this._chunks.has(keyOf(customer, digest));
  }

  get(customer: string, digest: string): Buffer | undefined {
    return this._chunks.get(keyOf(customer, digest));
  }

  /** Stores a chunk whose digest the caller has verified; one that nobody retains is let go. */
  put(customer: string, digest: string, data: Buffer): void {
    const key = keyOf(customer, digest);
    if (this._chunks.has(key) || !this._retained.has(key)) return;
    this._chunks.set(key, data);
    this._usedBytes += data.length;
  }

  /** Sets memory aside for the named chunks until `owner` is released; chunks shared with another owner cost nothing. */
  retain(owner: string, customer: string, chunks: readonly ChunkDescription[]): RetainOutcome {
    if (this._owners.has(owner)) return 'retained';
    const wanted = new Map(chunks.map((chunk) => [keyOf(customer, chunk.digest), chunk.size]));
    const added = [...wanted].filter(([key]) => !this._retained.has(key));
    const addedBytes = added.reduce((sum, [, size]) => sum + size, 0);
    if (this._retainedBytes + addedBytes > this.limitBytes) return 'full';
    this._retainedBytes += addedBytes;
    this._owners.set(owner, [...wanted.keys()]);
    for (const [key, size] of wanted) {
      const retained = this._retained.get(key) ?? { size, owners: 0 };
      retained.owners++;
      this._retained.set(key, retained);
    }
    return 'retained';
  }

  /** Ends a {@link ChunkStore.retain}; chunks that no other owner names are dropped. */
  release(owner: string): void {
    const keys = this._owners.get(owner) ?? [];
    this._owners.delete(owner);
    for (const key of keys) this._dropOwnerOf(key);
  }

  private _dropOwnerOf(key: string): void {
    const retained = this._retained.get(key)!;
    retained.owners--;
    if (retained.owners > 0) return;
    this._retained.delete(key);
    this._retainedBytes -= retained.size;
    this._usedBytes -= this._chunks.get(key)?.length ?? 0;
    this._chunks.delete(key);
  }
}

function keyOf(customer: string, digest: string): string {
  return `${customer}/${digest}`;
}
