/** A store of verified chunks in bounded memory, separate for each customer. */
import type { ChunkDescription } from '../protocol/manifest.js';

/** Whether memory could be reserved. */
export type RetainOutcome = 'retained' | 'full';

/** A chunk that owners retain, whether it is stored already or not. */
interface Retained {
  size: number;
  owners: number;
}

/**
 * Stores chunks by customer and digest. The same digest of two customers is stored twice, so that a customer who
 * knows a digest learns nothing about another customer. Memory is reserved before a transfer begins, so that a
 * transfer never runs out of it. Chunks without an owner are dropped.
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

  /** Bytes of the stored chunks. */
  get usedBytes(): number {
    return this._usedBytes;
  }

  /** Bytes that are reserved, for chunks that are stored or still to be stored. */
  get retainedBytes(): number {
    return this._retainedBytes;
  }

  has(customer: string, digest: string): boolean {
    return this._chunks.has(keyOf(customer, digest));
  }

  get(customer: string, digest: string): Buffer | undefined {
    return this._chunks.get(keyOf(customer, digest));
  }

  /** Stores a chunk whose digest the caller has verified. Ignores it if no owner retains it. */
  put(customer: string, digest: string, data: Buffer): void {
    const key = keyOf(customer, digest);
    if (this._chunks.has(key) || !this._retained.has(key)) return;
    this._chunks.set(key, data);
    this._usedBytes += data.length;
  }

  /** Reserves memory for `chunks` until `owner` is released. Chunks that another owner retains already need none. */
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

  /** Releases the chunks of `owner`; drops those that no other owner retains. */
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
