/**
 * Length-prefixed CBOR: four bytes of length, then one CBOR item. A frame of length 0 is a heartbeat. The highest bit
 * of the length marks a compressed item.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Decoder, Encoder } from 'cbor-x';
import { StepError } from '../utils/stepError.js';

/** Largest body of a frame that either side accepts, before and after decompression. */
export const MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024;
/** The same for a peer that has not proved yet that it has the shared key. */
const MAXIMUM_HELLO_BYTES = 4 * 1024;
const LENGTH_BYTES = 4;
/** Flag in the length field; far above {@link MAXIMUM_FRAME_BYTES}. */
const COMPRESSED_BIT = 0x8000_0000;
/**
 * Items of at least this size are compressed. An entry that reads the store sends a configuration of 0.7 MB to each
 * of a hundred entries. Uncompressed, that is 560 Mbit over a link that may have only 28 Mbit/s, and the
 * configuration must be in force everywhere within seconds.
 */
const COMPRESSION_THRESHOLD_BYTES = 16 * 1024;
/** Configurations are so repetitive that higher levels save almost nothing and cost several times the CPU time. */
const COMPRESSION_LEVEL = 1;

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false });

/** Sent on an idle connection to show that the sender is alive. */
export const HEARTBEAT_FRAME = Buffer.alloc(LENGTH_BYTES);
const NO_MESSAGES: readonly unknown[] = [];
/** Pieces of a few bytes take much more memory than their bytes, so that they are joined. */
const MAXIMUM_PENDING_PIECES = 256;

/** Encodes one message as a frame. Throws if the message is too large. */
export function encodeFrame(message: unknown): Buffer {
  const body = encoder.encode(message);
  if (body.length > MAXIMUM_FRAME_BYTES)
    throw new StepError('frame.encode', `${body.length} bytes is over the limit`);
  const isCompressed = body.length >= COMPRESSION_THRESHOLD_BYTES;
  const payload = isCompressed ? deflateRawSync(body, { level: COMPRESSION_LEVEL }) : body;
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(isCompressed ? COMPRESSED_BIT + payload.length : payload.length, 0);
  payload.copy(frame, LENGTH_BYTES);
  return frame;
}

/** The body of a frame as received. */
interface FrameBody {
  bytes: Buffer;
  isCompressed: boolean;
}

/** Splits a byte stream into frames and decodes them. */
export class FrameReader {
  private _pending: Buffer[] = [];
  private _pendingBytes = 0;
  /** Whether the peer still has to prove that it has the shared key; until then its frames have to be small. */
  isHandshake = false;

  /**
   * Adds received bytes and returns the messages that they complete. Throws on an invalid frame. Bytes in a buffer that
   * the caller reuses (`isReused`) are copied.
   */
  push(bytes: Buffer, isReused = false): readonly unknown[] {
    if (this._pendingBytes === 0 && HEARTBEAT_FRAME.equals(bytes)) return NO_MESSAGES;
    this._pending.push(isReused ? Buffer.from(bytes) : bytes);
    this._pendingBytes += bytes.length;
    if (this._pending.length > MAXIMUM_PENDING_PIECES) this._concatenatePending();
    const messages: unknown[] = [];
    for (let body = this._nextBody(); body !== undefined; body = this._nextBody()) {
      if (body.bytes.length > 0) messages.push(this._decode(body));
    }
    return messages;
  }

  private get _maximumBytes(): number {
    return this.isHandshake ? MAXIMUM_HELLO_BYTES : MAXIMUM_FRAME_BYTES;
  }

  private _nextBody(): FrameBody | undefined {
    if (this._pendingBytes < LENGTH_BYTES) return undefined;
    if (this._pending[0].length < LENGTH_BYTES) this._concatenatePending();
    const lengthField = this._pending[0].readUInt32BE(0);
    const isCompressed = lengthField >= COMPRESSED_BIT;
    const length = isCompressed ? lengthField - COMPRESSED_BIT : lengthField;
    if (length > this._maximumBytes) throw new StepError('frame.decode', `${length} bytes is over the limit`);
    if (this._pendingBytes < LENGTH_BYTES + length) return undefined;
    this._concatenatePending();
    const buffered = this._pending[0];
    const rest = buffered.subarray(LENGTH_BYTES + length);
    this._pending = rest.length > 0 ? [rest] : [];
    this._pendingBytes = rest.length;
    return { bytes: buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + length), isCompressed };
  }

  private _concatenatePending(): void {
    if (this._pending.length > 1) this._pending = [Buffer.concat(this._pending)];
  }

  private _decode({ bytes, isCompressed }: FrameBody): unknown {
    try {
      const item = isCompressed ? inflateRawSync(bytes, { maxOutputLength: this._maximumBytes }) : bytes;
      return decoder.decode(item);
    } catch (error) {
      throw new StepError('frame.decode', 'not a CBOR item', { cause: error });
    }
  }
}
