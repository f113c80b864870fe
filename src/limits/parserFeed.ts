/** Passes the bytes of a connection to the HTTP server a little at a time. */
import type { Socket } from 'node:net';
import { TurnQueue } from './turnQueue.js';

type Parse = (bytes: Buffer) => void;

/** One read of a connection brings up to 64 KiB: hundreds of requests, or thousands of parts of a body. */
const SLICE_BYTES = 4 * 1024;
/** Time for which a connection may keep the event loop from the others. */
const MAX_MILLISECONDS = 2;
/** Connections that have more for the parser; one of them is served in each turn. */
const turns = new TurnQueue(1);

export interface ParserFeedListener {
  /** Whether the connection has to wait until {@link ParserFeed.resume} is called. */
  isStalled(): boolean;
  /** The parser has got some bytes. */
  onParsed(): void;
}

export class ParserFeed {
  private readonly _socket: Socket;
  private readonly _parse: Parse;
  private readonly _listener: ParserFeedListener;
  private _pending: Buffer | undefined;
  /** Whether it was this feed, and not the HTTP server, that has paused the socket. */
  private _isHeld = false;
  private _isWaitingForTurn = false;
  private _parsedBytes = 0;

  constructor(socket: Socket, listener: ParserFeedListener) {
    this._socket = socket;
    this._listener = listener;
    // The listener through which the HTTP server gets what it parses.
    const [parse] = socket.listeners('data') as Parse[];
    this._parse = parse;
    socket.off('data', parse);
    socket.on('data', (bytes: Buffer) => this._add(bytes));
    socket.on('resume', () => this._onResume());
  }

  /** Bytes that the parser has got. */
  get parsedBytes(): number {
    return this._parsedBytes;
  }

  /** Bytes that the parser has not got yet. */
  get pendingBytes(): number {
    return (this._pending?.length ?? 0) + this._socket.readableLength;
  }

  /** Goes on after the connection has been stalled. */
  resume(): void {
    if (this._pending && !this._isWaitingForTurn) this._waitForTurn();
  }

  private _add(bytes: Buffer): void {
    // The usual case: a request, or a part of a body, that takes little time.
    if (!this._pending && bytes.length <= SLICE_BYTES && this._mayParse) return this._parseSlice(bytes);
    this._pending = this._pending ? Buffer.concat([this._pending, bytes]) : bytes;
    if (!this._isWaitingForTurn) this._feed();
  }

  private _feed(): void {
    if (this._isHeld) {
      this._isHeld = false;
      this._socket.resume();
    }
    const startedAt = performance.now();
    while (this._pending && this._mayParse) {
      const slice = this._pending.subarray(0, SLICE_BYTES);
      this._pending = slice.length < this._pending.length ? this._pending.subarray(SLICE_BYTES) : undefined;
      this._parseSlice(slice);
      if (this._pending && performance.now() - startedAt > MAX_MILLISECONDS) return this._waitForTurn();
    }
    if (this._pending) this._hold();
  }

  private _parseSlice(slice: Buffer): void {
    this._parsedBytes += slice.length;
    this._parse(slice);
    this._listener.onParsed();
  }

  /** The HTTP server pauses the socket while nobody reads a body or its answers; its parser must get nothing then. */
  private get _mayParse(): boolean {
    return !this._socket.destroyed && !this._socket.isPaused() && !this._listener.isStalled();
  }

  /** The HTTP server wants more, and gets first what is pending. */
  private _onResume(): void {
    if (!this._pending || this._socket.isPaused()) return;
    this._hold();
    if (!this._isWaitingForTurn && !this._listener.isStalled()) this._waitForTurn();
  }

  private _hold(): void {
    if (this._socket.isPaused()) return;
    this._isHeld = true;
    this._socket.pause();
  }

  private _waitForTurn(): void {
    this._isWaitingForTurn = true;
    this._hold();
    turns.add(() => {
      this._isWaitingForTurn = false;
      this._feed();
    });
  }
}
