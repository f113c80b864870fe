/** Verified chunks in bounded memory, kept apart by customer. */

/** Returned when a chunk does not fit. */
export type StoreOutcome = 'stored' | 'full';

/**
 * Keeps chunks by customer and digest. The same digest of two customers is two entries, so that knowing
 * a digest tells a customer nothing about another. Chunks that no reference names go first when space is short.
 */
export class ChunkStore {
  readonly limitBytes: number;
  private readonly _chunks = new Map<string, Buffer>();
  private readonly _references = new Map<string, Set<string>>();
  private _usedBytes = 0;

  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  get usedBytes(): number {
    return this._usedBytes;
  }

  has(customer: string, digest: string): boolean {
    return this._chunks.has(keyOf(customer, digest));
  }

  get(customer: string, digest: string): Buffer | undefined {
    return this._chunks.get(keyOf(customer, digest));
  }

  /** Stores a chunk whose digest the caller has verified. */
  put(customer: string, digest: string, data: Buffer): StoreOutcome {
    const key = keyOf(customer, digest);
    if (this._chunks.has(key)) return 'stored';
    if (this._usedBytes + data.length > this.limitBytes) this._evictUnreferenced();
    if (this._usedBytes + data.length > this.limitBytes) return 'full';
    this._chunks.set(key, data);
    this._usedBytes += data.length;
    return 'stored';
  }

  /** Keeps the named chunks, present or to come, until `owner` is released. */
  retain(owner: string, customer: string, digests: readonly string[]): void {
    this._references.set(owner, new Set(digests.map((digest) => keyOf(customer, digest))));
  }

  /** Ends a {@link ChunkStore.retain}; chunks that no other owner names are dropped. */
  release(owner: string): void {
    if (this._references.delete(owner)) this._evictUnreferenced();
  }

  private _evictUnreferenced(): void {
    for (const [key, data] of this._chunks) {
      if (this._isReferenced(key)) continue;
      this._chunks.delete(key);
      this._usedBytes -= data.length;
    }
  }

  private _isReferenced(key: string): boolean {
    for (const keys of this._references.values()) {
      if (keys.has(key)) return true;
    }
    return false;
  }
}

function keyOf(customer: string, digest: string): string {
  return `${customer}/${digest}`;
}
