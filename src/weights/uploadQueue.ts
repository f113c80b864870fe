/** Sends chunks to other agents: a few at a time, a short queue, and a busy answer beyond it. */
import type http from 'node:http';
import { HEADER } from '../protocol/headers.js';
import { untilDrained } from '../utils/backpressure.js';
import type { RateLimiter } from '../utils/rateLimiter.js';

/** Chunks sent at the same time: one ends sooner, and so is passed on sooner, than two that share the link. */
const UPLOAD_SLOTS = 1;
/** Chunks that may wait for a slot. */
const UPLOAD_QUEUE = 6;
const BLOCK_BYTES = 64 * 1024;

/** Paces and bounds what the box sends. */
export class UploadQueue {
  private readonly _outgoing: RateLimiter;
  private readonly _stallMilliseconds: number;
  private readonly _blockBytes: number;
  private readonly _waiting: (() => void)[] = [];
  private _active = 0;
  bytesSent = 0;

  /** `blockBytes` is written at a time: what else uses the link waits no longer than such a block takes. */
  constructor(outgoing: RateLimiter, stallMilliseconds: number, blockBytes = BLOCK_BYTES) {
    this._outgoing = outgoing;
    this._stallMilliseconds = stallMilliseconds;
    this._blockBytes = blockBytes;
  }

  /** Chunks being sent or waiting. */
  get length(): number {
    return this._active + this._waiting.length;
  }

  /** Answers with `data`, or with 503 when the queue is full. */
  async send(response: http.ServerResponse, data: Buffer): Promise<void> {
    if (this._waiting.length >= UPLOAD_QUEUE) {
      response.writeHead(503, { [HEADER.uploadQueue]: String(this.length) }).end();
      return;
    }
    await this._takeSlot();
    try {
      response.writeHead(200, {
        'content-length': data.length,
        [HEADER.uploadQueue]: String(this._waiting.length),
      });
      await this._sendPieces(response, data);
    } finally {
      this._releaseSlot();
    }
  }

  private async _sendPieces(response: http.ServerResponse, data: Buffer): Promise<void> {
    for (let start = 0; start < data.length && !response.destroyed; start += this._blockBytes) {
      const piece = data.subarray(start, start + this._blockBytes);
      await this._outgoing.acquire(piece.length);
      this.bytesSent += piece.length;
      if (!response.write(piece)) await this._drained(response);
    }
    response.end();
  }

  /** Waits for room; cuts a receiver that takes nothing for too long, so that it cannot hold a slot. */
  private async _drained(response: http.ServerResponse): Promise<void> {
    const stalled = setTimeout(() => response.destroy(), this._stallMilliseconds);
    await untilDrained(response);
    clearTimeout(stalled);
  }

  private async _takeSlot(): Promise<void> {
    if (this._active >= UPLOAD_SLOTS) await new Promise<void>((resolve) => this._waiting.push(resolve));
    else this._active++;
  }

  private _releaseSlot(): void {
    const next = this._waiting.shift();
    if (next) next();
    else this._active--;
  }
}
