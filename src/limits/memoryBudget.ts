/** Counts the memory that the requests of clients and the answers to them take, and limits it. */

import { Reclaimer } from './reclaimer.js';

const BYTES_PER_MEGABYTE = 1024 * 1024;
/** A share above this size is large. */
const LARGE_BYTES = 64 * 1024;
/** Part of the budget that is not available to large shares, so that ordinary requests find room. */
const RESERVED_PART = 0.25;

/** Ends what a share is held for; must release the share before it returns. */
export type Evict = () => void;

/** Memory that is held for one request or connection. */
export class MemoryShare {
  private readonly _budget: MemoryBudget;
  private _bytes = 0;
  private _evict: Evict | undefined;
  private _isReleased = false;

  constructor(budget: MemoryBudget) {
    this._budget = budget;
  }

  /** Bytes that are counted. */
  get bytes(): number {
    return this._bytes;
  }

  get evict(): Evict | undefined {
    return this._evict;
  }

  /** While set, `evict` is called when others need the memory. Set it while this process waits for the client. */
  set evict(evict: Evict | undefined) {
    this._evict = this._isReleased ? undefined : evict;
    this._budget.setEvictable(this, this._evict !== undefined);
  }

  /** Counts `bytes` more. Returns false, without counting them, if there is no room, or after the release. */
  take(bytes: number): boolean {
    if (this._isReleased || (bytes > 0 && !this._budget.makeRoom(this, bytes))) return false;
    this._bytes += bytes;
    this._budget.add(bytes, this._bytes - bytes);
    return true;
  }

  /** Counts `bytes` in place of what has been counted. Returns false, without a change, if there is no room. */
  resize(bytes: number): boolean {
    return this.take(bytes - this._bytes);
  }

  /** Counts `bytes` less; has no effect after the release. */
  give(bytes: number): void {
    this.take(-bytes);
  }

  /** Ends the share; nothing of it is counted any more. */
  release(): void {
    this.evict = undefined;
    this.resize(0);
    this._isReleased = true;
  }
}

/** The memory of a process for all of its clients. */
export class MemoryBudget {
  /** Bytes that all shares may hold together. */
  readonly limitBytes: number;
  private readonly _reclaimer: Reclaimer;
  private readonly _evictable = new Set<MemoryShare>();
  private _bytes = 0;
  private _evicted = 0;
  private _refused = 0;

  constructor(megabytes: number) {
    this.limitBytes = megabytes * BYTES_PER_MEGABYTE;
    this._reclaimer = new Reclaimer(this.limitBytes);
  }

  /** Bytes that all shares hold. */
  get bytes(): number {
    return this._bytes;
  }

  /** Number of shares that were taken back since the start. */
  get evicted(): number {
    return this._evicted;
  }

  /** Number of times that a share could not grow since the start. */
  get refused(): number {
    return this._refused;
  }

  /** Opens an empty share. */
  share(): MemoryShare {
    return new MemoryShare(this);
  }

  /** For {@link MemoryShare} only. */
  setEvictable(share: MemoryShare, isEvictable: boolean): void {
    if (isEvictable) this._evictable.add(share);
    else this._evictable.delete(share);
  }

  /** For {@link MemoryShare} only. `size` is that of the share before. */
  add(bytes: number, size: number): void {
    this._bytes += bytes;
    const isLarge = size > LARGE_BYTES;
    if (bytes > 0) this._reclaimer.onTaken(bytes, isLarge);
    else if (isLarge) this._reclaimer.onFreed(-bytes);
  }

  /** Returns memory that is not in use any more to the system; call it from time to time. */
  reclaim(): void {
    this._reclaimer.check(this._bytes);
  }

  /**
   * For {@link MemoryShare} only. Evicts the largest shares until `bytes` fit into `share`. Returns false if they
   * cannot: large shares never push out smaller ones.
   */
  makeRoom(share: MemoryShare, bytes: number): boolean {
    const size = share.bytes + bytes;
    const isLarge = size > LARGE_BYTES;
    const limit = isLarge ? this.limitBytes * (1 - RESERVED_PART) : this.limitBytes;
    while (this._bytes + bytes > limit) {
      const largest = this._largestEvictable(share);
      if (!largest || (isLarge && largest.bytes < size)) {
        this._refused++;
        return false;
      }
      this._evicted++;
      largest.evict!();
      if (this._evictable.has(largest)) largest.release();
    }
    return true;
  }

  private _largestEvictable(asking: MemoryShare): MemoryShare | undefined {
    let largest: MemoryShare | undefined;
    for (const share of this._evictable)
      if (share !== asking && share.bytes > (largest?.bytes ?? 0)) largest = share;
    return largest;
  }
}
