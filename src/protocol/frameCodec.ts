/** Length-framed CBOR: four bytes of length, then one CBOR item; a frame of length 0 is a heartbeat. */
import { Decoder, Encoder } from 'cbor-x';
import { StepError } from '../utils/stepError.js';

/** The longest frame that either side accepts, in bytes. */
export const MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024;
const LENGTH_BYTES = 4;

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false });

/** Keeps a quiet connection known to be alive. */
export const HEARTBEAT_FRAME = Buffer.alloc(LENGTH_BYTES);

/** Encodes one message as a frame. */
export function encodeFrame(message: unknown): Buffer {
  const body = encoder.encode(message);
  if (body.length > MAXIMUM_FRAME_BYTES)
    throw new StepError('frame.encode', `${body.length} bytes is over the limit`);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Cuts a byte stream into frames and decodes them. */
export class FrameReader {
  private _pending: Buffer[] = [];
  private _pendingBytes = 0;

  /** Takes bytes off the wire and returns the messages that they complete. Throws on a bad frame. */
  push(bytes: Buffer): unknown[] {
    this._pending.push(bytes);
    this._pendingBytes += bytes.length;
    const messages: unknown[] = [];
    for (let body = this._nextBody(); body !== undefined; body = this._nextBody()) {
      if (body.length > 0) messages.push(this._decode(body));
    }
    return messages;
  }

  private _nextBody(): Buffer | undefined {
    if (this._pendingBytes < LENGTH_BYTES) return undefined;
    if (this._pending[0].length < LENGTH_BYTES) this._join();
    const length = this._pending[0].readUInt32BE(0);
    if (length > MAXIMUM_FRAME_BYTES)
      throw new StepError('frame.decode', `${length} bytes is over the limit`);
    if (this._pendingBytes < LENGTH_BYTES + length) return undefined;
    this._join();
    const all = this._pending[0];
    const rest = all.subarray(LENGTH_BYTES + length);
    this._pending = rest.length > 0 ? [rest] : [];
    this._pendingBytes = rest.length;
    return all.subarray(LENGTH_BYTES, LENGTH_BYTES + length);
  }

  private _join(): void {
    if (this._pending.length > 1) this._pending = [Buffer.concat(this._pending)];
  }

  private _decode(body: Buffer): unknown {
    try {
      return decoder.decode(body);
    } catch (error) {
      throw new StepError('frame.decode', 'not a CBOR item', { cause: error });
    }
  }
}
