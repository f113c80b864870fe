/** Limits the memory that the buffered answers of all requests take together. */

const BYTES_PER_MEGABYTE = 1024 * 1024;
/** Granted to every answer, so that a few very long ones do not fail all others. */
const GRANTED_BYTES = 64 * 1024;

/** The part of one request. */
export class AnswerShare {
  private readonly _memory: AnswerMemory;
  private _bytes = 0;

  constructor(memory: AnswerMemory) {
    this._memory = memory;
  }

  /** Counts bytes that are kept. Returns false if the answers take too much memory and this one has to end. */
  add(bytes: number): boolean {
    this._bytes += bytes;
    this._memory.bytes += bytes;
    return this._bytes <= GRANTED_BYTES || !this._memory.isExceeded;
  }

  /** Counts the bytes as no longer kept. */
  release(): void {
    this._memory.bytes -= this._bytes;
    this._bytes = 0;
  }
}

export class AnswerMemory {
  /** Bytes that are kept now. */
  bytes = 0;
  private readonly _maximumBytes: number;

  constructor(maximumMegabytes: number) {
    this._maximumBytes = maximumMegabytes * BYTES_PER_MEGABYTE;
  }

  /** Whether only answers that are short may grow. */
  get isExceeded(): boolean {
    return this.bytes > this._maximumBytes;
  }

  share(): AnswerShare {
    return new AnswerShare(this);
  }
}
