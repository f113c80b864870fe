/** Sends chunks to other agents: a limited number at a time, with a short queue. Refuses further requests as busy. */
import type http from 'node:http';
import { HEADER } from '../protocol/headers.js';
import { untilDrained } from '../utils/backpressure.js';
import type { RateLimiter } from '../utils/rateLimiter.js';
import type { RankedUpload, UploadRequest } from './uploadOrder.js';
import { admitUpload, nextUpload } from './uploadOrder.js';

/** Chunks sent at the same time. One alone arrives, and can be passed on, sooner than two that share the link. */
const UPLOAD_SLOTS = 1;
const BLOCK_BYTES = 64 * 1024;

interface WaitingUpload {
  request: UploadRequest;
  /** Ends the wait: the upload begins, or is refused in favour of a more urgent one. */
  end: (outcome: 'begin' | 'refuse') => void;
}

/** Number of chunks for which the queue counts how often they were sent. */
const MAXIMUM_COUNTED_CHUNKS = 4_096;

/**
 * Limits the rate and the queue of chunks that the box sends. Sends the most urgent requests first and, among these,
 * the chunks that were sent least often, so that rare chunks spread faster.
 */
export class UploadQueue {
  private readonly _outgoing: RateLimiter;
  private readonly _stallMilliseconds: number;
  private readonly _blockBytes: number;
  private readonly _waiting: WaitingUpload[] = [];
  private readonly _timesSent = new Map<string, number>();
  private _active = 0;
  bytesSent = 0;

  /** Writes `blockBytes` at a time, so that other traffic on the link waits no longer than one block takes. */
  constructor(outgoing: RateLimiter, stallMilliseconds: number, blockBytes = BLOCK_BYTES) {
    this._outgoing = outgoing;
    this._stallMilliseconds = stallMilliseconds;
    this._blockBytes = blockBytes;
  }

  /** Number of chunks that are being sent or waiting. */
  get length(): number {
    return this._active + this._waiting.length;
  }

  /** Responds with `data`, or with status 503 when the queue is full. */
  async send(response: http.ServerResponse, data: Buffer, request: UploadRequest): Promise<void> {
    if (!(await this._takeSlot(request))) {
      response.writeHead(503, { [HEADER.uploadQueue]: String(this.length) }).end();
      return;
    }
    this._countSent(request.chunk);
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
      if (!response.write(piece)) await this._waitForDrain(response);
    }
    response.end();
  }

  /** Waits until the receiver has read the buffered data. Disconnects it if it stalls, which frees its slot. */
  private async _waitForDrain(response: http.ServerResponse): Promise<void> {
    const stallTimer = setTimeout(() => response.destroy(), this._stallMilliseconds);
    await untilDrained(response);
    clearTimeout(stallTimer);
  }

  /** Waits for a slot. Returns false if the request is refused. */
  private async _takeSlot(request: UploadRequest): Promise<boolean> {
    if (this._active < UPLOAD_SLOTS) {
      this._active++;
      return true;
    }
    const admission = admitUpload(this._ranked(), request);
    if (admission === 'refuse') return false;
    if (admission !== 'wait') this._waiting.splice(admission.displace, 1)[0].end('refuse');
    const outcome = await new Promise((end) => this._waiting.push({ request, end }));
    return outcome === 'begin';
  }

  private _releaseSlot(): void {
    const next = nextUpload(this._ranked());
    if (next < 0) this._active--;
    else this._waiting.splice(next, 1)[0].end('begin');
  }

  private _ranked(): RankedUpload[] {
    return this._waiting.map(({ request }) => ({
      request,
      timesSent: this._timesSent.get(request.chunk) ?? 0,
    }));
  }

  private _countSent(chunk: string): void {
    const timesSent = this._timesSent.get(chunk) ?? 0;
    this._timesSent.delete(chunk);
    this._timesSent.set(chunk, timesSent + 1);
    if (this._timesSent.size <= MAXIMUM_COUNTED_CHUNKS) return;
    const [oldest] = this._timesSent.keys();
    this._timesSent.delete(oldest);
  }
}
