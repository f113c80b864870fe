/** Sends chunks to other agents: a limited number at a time, with a short queue. Refuses further requests as busy. */
import type http from 'node:http';
import { HEADER } from '../protocol/headers.js';
import { untilDrained } from '../utils/backpressure.js';
import type { RateLimiter } from '../utils/rateLimiter.js';

/** Chunks sent at the same time. One alone arrives, and can be passed on, sooner than two that share the link. */
const UPLOAD_SLOTS = 1;
/** Who requests a chunk: a gateway of another data centre, a box that switches early, or any other box. */
export type UploadPriority = 'other-data-centre' | 'early' | 'usual';

/** Most urgent first. */
const PRIORITIES: readonly UploadPriority[] = ['other-data-centre', 'early', 'usual'];
/** Requests that may wait for a slot. Few `usual` ones, since other boxes in the data centre hold those chunks too. */
const MAXIMUM_WAITING: Record<UploadPriority, number> = { 'other-data-centre': 6, early: 6, usual: 2 };
const BLOCK_BYTES = 64 * 1024;

/** The chunk that is requested, and how urgently. */
export interface UploadRequest {
  /** Identifies the chunk: the same in all requests for it. */
  chunk: string;
  priority: UploadPriority;
}

interface WaitingUpload {
  request: UploadRequest;
  begin: () => void;
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

  /** Waits until the receiver has read the buffered data. Disconnects it if it stalls, which frees its slot. */
  private async _waitForDrain(response: http.ServerResponse): Promise<void> {
    const stallTimer = setTimeout(() => response.destroy(), this._stallMilliseconds);
    await untilDrained(response);
    clearTimeout(stallTimer);
  }

  /** Each priority has its own limit, so that requests of one don't displace those of another. */
  private _isFullFor({ priority }: UploadRequest): boolean {
    const waitingOfPriority = this._waiting.filter(({ request }) => request.priority === priority);
    return waitingOfPriority.length >= MAXIMUM_WAITING[priority];
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

  /** Removes the first request by rank from the queue. */
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
