/** Sends chunks to other agents: a few at a time, a short queue, and a busy answer beyond it. */
import type http from 'node:http';
import { HEADER } from '../protocol/headers.js';
import { untilDrained } from '../utils/backpressure.js';
import type { RateLimiter } from '../utils/rateLimiter.js';

/** Chunks sent at the same time: one ends sooner, and so is passed on sooner, than two that share the link. */
const UPLOAD_SLOTS = 1;
/** Why a chunk is asked for: a whole other data centre waits for it, or a box that switches early, or any other box. */
export type UploadPriority = 'other-data-centre' | 'early' | 'usual';

/** Most urgent first. */
const PRIORITIES: readonly UploadPriority[] = ['other-data-centre', 'early', 'usual'];
/** Chunks that may wait for a slot. Usual ones are asked for elsewhere: other boxes of the data centre hold them too. */
const MAXIMUM_WAITING: Record<UploadPriority, number> = { 'other-data-centre': 6, early: 6, usual: 2 };
const BLOCK_BYTES = 64 * 1024;

/** What is asked for, and by whom. */
export interface UploadRequest {
  /** The same for every request of one chunk. */
  chunk: string;
  priority: UploadPriority;
}

interface WaitingUpload {
  request: UploadRequest;
  begin: () => void;
}

/** Chunks of which it is remembered how often they were sent. */
const MAXIMUM_COUNTED_CHUNKS = 4_096;

/** Paces and bounds what the box sends: the most urgent first, then chunks that were sent less often, which spread sooner. */
export class UploadQueue {
  private readonly _outgoing: RateLimiter;
  private readonly _stallMilliseconds: number;
  private readonly _blockBytes: number;
  private readonly _waiting: WaitingUpload[] = [];
  private readonly _timesSent = new Map<string, number>();
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
  async send(response: http.ServerResponse, data: Buffer, request: UploadRequest): Promise<void> {
    if (this._isFullFor(request)) {
      response.writeHead(503, { [HEADER.uploadQueue]: String(this.length) }).end();
      return;
    }
    await this._takeSlot(request);
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

  /** Waits for room; cuts a receiver that takes nothing for too long, so that it cannot hold a slot. */
  private async _waitForDrain(response: http.ServerResponse): Promise<void> {
    const stalled = setTimeout(() => response.destroy(), this._stallMilliseconds);
    await untilDrained(response);
    clearTimeout(stalled);
  }

  /** Requests of one priority find room beside those of others. */
  private _isFullFor({ priority }: UploadRequest): boolean {
    const waitingAlike = this._waiting.filter(({ request }) => request.priority === priority);
    return waitingAlike.length >= MAXIMUM_WAITING[priority];
  }

  private async _takeSlot(request: UploadRequest): Promise<void> {
    if (this._active >= UPLOAD_SLOTS)
      await new Promise<void>((begin) => this._waiting.push({ request, begin }));
    else this._active++;
  }

  private _releaseSlot(): void {
    const next = this._next();
    if (next) next.begin();
    else this._active--;
  }

  /** Takes the request that comes first out of those that wait. */
  private _next(): WaitingUpload | undefined {
    let best = 0;
    for (let index = 1; index < this._waiting.length; index++) {
      if (this._rank(this._waiting[index]) < this._rank(this._waiting[best])) best = index;
    }
    return this._waiting.splice(best, 1)[0];
  }

  private _rank({ request }: WaitingUpload): number {
    const timesSent = this._timesSent.get(request.chunk) ?? 0;
    return (
      PRIORITIES.indexOf(request.priority) * MAXIMUM_COUNTED_CHUNKS +
      Math.min(timesSent, MAXIMUM_COUNTED_CHUNKS - 1)
    );
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
