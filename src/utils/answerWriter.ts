/** Writes answers whose length is not known in advance. */
import type http from 'node:http';
import { untilDrained } from './backpressure.js';
import { StepError } from './stepError.js';

/** Limit for an answer that is sent at once. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;

interface HeldAnswer {
  status: number;
  headers: http.OutgoingHttpHeaders;
  pieces: Buffer[];
  bytes: number;
}

/**
 * Sends an answer in chunks, or with its length once it is complete, to a caller that takes no chunks (HTTP/1.0). Without
 * either, what a killed process has sent would look complete, since the system closes its connections in order.
 */
export class AnswerWriter {
  private readonly _response: http.ServerResponse;
  private readonly _stallMilliseconds: number;
  private _held: HeldAnswer | undefined;

  /** Cuts off a caller that takes no byte for `stallMilliseconds`; 0 for no limit. */
  constructor(response: http.ServerResponse, stallMilliseconds = 0) {
    this._response = response;
    this._stallMilliseconds = stallMilliseconds;
  }

  begin(status: number, headers: http.OutgoingHttpHeaders): void {
    if (this._response.useChunkedEncodingByDefault) this._response.writeHead(status, headers);
    else this._held = { status, headers, pieces: [], bytes: 0 };
  }

  /** Resolves when the caller can take more. Rejects with a StepError if there is too much to send at once. */
  async write(piece: Buffer): Promise<void> {
    if (this._held) this._hold(this._held, piece);
    else if (!this._response.write(piece)) await untilDrained(this._response, this._stallMilliseconds);
  }

  end(): void {
    if (!this._held) return void this._response.end();
    const { status, headers, pieces, bytes } = this._held;
    this._response.writeHead(status, { ...headers, 'content-length': bytes }).end(Buffer.concat(pieces));
  }

  private _hold(held: HeldAnswer, piece: Buffer): void {
    held.bytes += piece.length;
    if (held.bytes > MAX_HELD_BYTES) throw new StepError('answer.write', `over ${MAX_HELD_BYTES} bytes`);
    held.pieces.push(piece);
  }
}
