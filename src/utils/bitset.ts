/** A fixed-size set of small integers. */

/** A set of chunk indexes, stored as one bit each. */
export class Bitset {
  readonly size: number;
  private readonly _bytes: Uint8Array;
  private _count = 0;

  constructor(size: number) {
    this.size = size;
    this._bytes = new Uint8Array(Math.ceil(size / 8));
  }

  /** Creates a set from the result of {@link Bitset.toBytes}; bits past `size` are ignored. */
  static fromBytes(size: number, bytes: Uint8Array): Bitset {
    const set = new Bitset(size);
    for (let index = 0; index < size; index++) {
      if ((bytes[index >> 3] ?? 0) & (1 << (index & 7))) set.add(index);
    }
    return set;
  }

  /** Number of indexes in the set. */
  get count(): number {
    return this._count;
  }

  /** Whether the set contains every index below `size`. */
  get full(): boolean {
    return this._count === this.size;
  }

  has(index: number): boolean {
    return (this._bytes[index >> 3] & (1 << (index & 7))) !== 0;
  }

  /** Adds `index`; returns false when it is out of range or already in the set. */
  add(index: number): boolean {
    if (index < 0 || index >= this.size || this.has(index)) return false;
    this._bytes[index >> 3] |= 1 << (index & 7);
    this._count++;
    return true;
  }

  /** Returns a copy of the bits, lowest index in the lowest bit of the first byte. */
  toBytes(): Uint8Array<ArrayBuffer> {
    return Uint8Array.from(this._bytes);
  }

  /** Returns the indexes in the set, in ascending order. */
  members(): number[] {
    return this._indexes().filter((index) => this.has(index));
  }

  /** Returns the indexes that are not in the set, in ascending order. */
  missing(): number[] {
    return this._indexes().filter((index) => !this.has(index));
  }

  private _indexes(): number[] {
    return Array.from({ length: this.size }, (_unused, index) => index);
  }
}
