/** Client sockets that report an end only where the peer has sent one. */
import net from 'node:net';
import { errorCode } from './stepError.js';

/** The connection was reset; what it has carried may be incomplete. */
export class ConnectionResetError extends Error {
  readonly code = 'ERR_CONNECTION_RESET';

  constructor(cause: Error) {
    super('the connection was reset', { cause });
  }
}

/** This process closed the connection before the peer had ended it. */
export class ConnectionClosedError extends Error {
  readonly code = 'ERR_CONNECTION_CLOSED';

  constructor() {
    super('the connection was closed before its end');
  }
}

const BUFFER_BYTES = 64 * 1024;
/** Time without data after which the system probes whether the peer is still there. */
const KEEP_ALIVE_MILLISECONDS = 60_000;
/** Shared by all sockets, since each read is copied out of it before the next one begins. */
const readBuffer = Buffer.allocUnsafeSlow(BUFFER_BYTES);

/**
 * A socket whose `end` event means that the peer has closed the connection in order. Any other end emits `error`:
 * {@link ConnectionResetError}, {@link ConnectionClosedError}, or the error of the system. HTTP clients rely on it for
 * answers with neither a length nor chunks, of which only the end of the connection tells whether they are complete.
 */
export class AnswerSocket extends net.Socket {
  /** Whether the last read reported an end. */
  private _hasReadEnd = false;
  /** Whether the end is confirmed, but has not been reported. */
  private _isEndPending = false;
  /** Whether the client is being asked to read on. */
  private _isOfferingEnd = false;

  /** `options` are those of the socket, of which `allowHalfOpen` is the only one that is not set here. */
  constructor(options: Pick<net.SocketConstructorOpts, 'allowHalfOpen'> = {}) {
    super({
      ...options,
      highWaterMark: BUFFER_BYTES,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_MILLISECONDS,
      // With a buffer of its own, reading from a socket can be started again after an end.
      onread: { buffer: readBuffer, callback: (length: number) => this._onBytes(length) },
    } as net.SocketConstructorOpts);
  }

  /**
   * Confirms an end by another read. When bytes and a reset arrive together, libuv reports the bytes and then an end
   * without reading on; only the next read returns the reset.
   */
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return super.push(chunk, encoding);
    if (!this._hasReadEnd) this._confirmEnd();
    else if (this.listenerCount('readable') === 0) super.push(null);
    else {
      this._isEndPending = true;
      this._offerEnd();
    }
    return false;
  }

  /**
   * Reports the end only to a client that reads on when asked to. HTTP clients fail with an assertion if they learn of an
   * end while they have paused an answer, as they do for slow readers.
   */
  override read(size?: number): unknown {
    const bytes: unknown = super.read(size);
    if (bytes !== null || size === 0 || !this._isEndPending) return bytes;
    if (!this._isOfferingEnd) {
      process.nextTick(() => this._offerEnd());
      return null;
    }
    this._isEndPending = false;
    super.push(null);
    return super.read();
  }

  /** HTTP clients take ECONNRESET, or no error at all, for the end of an answer that ends with its connection. */
  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    super._destroy(this._failureOf(error), callback);
  }

  private _confirmEnd(): void {
    this._hasReadEnd = true;
    this.pause();
    this.read(0);
  }

  private _offerEnd(): void {
    this._isOfferingEnd = true;
    this.emit('readable');
    this._isOfferingEnd = false;
  }

  private _onBytes(length: number): boolean {
    this._hasReadEnd = false;
    return this.push(Buffer.from(readBuffer.subarray(0, length)));
  }

  private _failureOf(error: Error | null): Error | null {
    if (error) return errorCode(error) === 'ECONNRESET' ? new ConnectionResetError(error) : error;
    return this.readableEnded ? null : new ConnectionClosedError();
  }
}
