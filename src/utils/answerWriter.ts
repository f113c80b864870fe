/** Writes answers whose length is not known in advance. */
import type http from 'node:http';
import { untilDrained } from './backpressure.js';
import { ByteCollector } from './byteCollector.js';
import { StepError } from './stepError.js';

/** Limit for an answer that is sent at once. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;

interface HeldAnswer {
  status: number;
  headers: http.OutgoingHttpHeaders;
  body: ByteCollector;
}

export interface AnswerLimits {
  /** Counts the memory of an answer that is sent at once; `take` returns false if there is none for it. */
  memory?: { take(bytes: number): boolean };
  /** Time after which a caller that takes no byte is cut off, since the answer keeps a slot of its box. */
  stallMilliseconds?: number;
}

/**
 * Sends an answer in chunks, or with its length once it is complete, to a caller that takes no chunks (HTTP/1.0). Without
 * either, what a killed process has sent would look complete, since the system closes its connections in order.
 */
export class AnswerWriter {
  private readonly _response: http.ServerResponse;
  private readonly _limits: AnswerLimits;
  private _held: HeldAnswer | undefined;

  constructor(response: http.ServerResponse, limits: AnswerLimits = {}) {
    this._response = response;
    this._limits = limits;
  }

  begin(status: number, headers: http.OutgoingHttpHeaders): void {
    if (this._response.useChunkedEncodingByDefault) this._response.writeHead(status, headers);
    else this._held = { status, headers, body: new ByteCollector() };
  }

  /** Resolves when the caller can take more. Rejects with a StepError if there is too much to send at once. */
  async write(piece: Buffer): Promise<void> {
    if (this._held) this._hold(this._held.body, piece);
    else if (!this._response.write(piece)) await untilDrained(this._response, this._limits.stallMilliseconds);
  }

  end(): void {
    if (!this._held) return void this._response.end();
    const { status, headers, body } = this._held;
    this._response.writeHead(status, { ...headers, 'content-length': body.length }).end(body.take());
  }

  private _hold(body: ByteCollector, piece: Buffer): void {
    if (body.length + piece.length > MAX_HELD_BYTES)
      throw new StepError('answer.write', `over ${MAX_HELD_BYTES} bytes`);
    if (this._limits.memory?.take(body.growthFor(piece)) === false)
      throw new StepError('answer.write', 'no memory for the answer');
    body.add(piece);
  }
}
