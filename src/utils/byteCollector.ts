/** Collects bytes that arrive in parts, without an object or a larger buffer kept alive for each part. */
import { allocatePaged } from './pagedBuffer.js';

const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

export class ByteCollector {
  private readonly _blocks: Buffer[] = [];
  private _length = 0;
  private _capacity = 0;
  /** Bytes used of the last block. */
  private _used = 0;

  /** Number of bytes collected. */
  get length(): number {
    return this._length;
  }

  /** Bytes of memory that {@link ByteCollector.add} needs for `part`, besides those it has. */
  growthFor(part: Buffer): number {
    const missing = part.length - this._free;
    return missing > 0 ? this._blockBytes(missing) : 0;
  }

  /** Copies the bytes of `part`. */
  add(part: Buffer): void {
    const fitting = Math.min(part.length, this._free);
    if (fitting > 0) this._copy(part, 0, fitting);
    if (fitting === part.length) return;
    const block = allocatePaged(this._blockBytes(part.length - fitting));
    this._blocks.push(block);
    this._capacity += block.length;
    this._used = 0;
    this._copy(part, fitting, part.length);
  }

  /** Takes all bytes out as one buffer. */
  take(): Buffer {
    const blocks = this._blocks.splice(0);
    const length = this._length;
    this._length = 0;
    this._capacity = 0;
    if (blocks.length === 1) return blocks[0].subarray(0, length);
    const whole = allocatePaged(length);
    let position = 0;
    for (const block of blocks) position += block.copy(whole, position, 0, length - position);
    return whole;
  }

  private get _free(): number {
    return this._blocks.length === 0 ? 0 : this._blocks[this._blocks.length - 1].length - this._used;
  }

  /** Size of the next block: grows with what has been collected, so that few blocks are needed and little is unused. */
  private _blockBytes(missing: number): number {
    const growth = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this._capacity));
    return this._blocks.length === 0 ? missing : Math.max(missing, growth);
  }

  private _copy(part: Buffer, start: number, end: number): void {
    part.copy(this._blocks[this._blocks.length - 1], this._used, start, end);
    this._used += end - start;
    this._length += end - start;
  }
}
