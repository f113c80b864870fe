/** A connection of a client: its requests, the memory that it takes, and for how long its client has been idle. */
import type http from 'node:http';
import type { Socket } from 'node:net';
import type { LimitedConnection } from './connectionLimit.js';
import type { MemoryShare } from './memoryBudget.js';
import { ParserFeed } from './parserFeed.js';

/** A request whose answer has not been handed to the operating system. */
export interface OpenRequest {
  request: http.IncomingMessage;
  response: http.ServerResponse;
  /** Memory of its head. */
  headBytes: number;
  /** Memory of the request and its answer, once the request is handled. */
  share: MemoryShare;
}

/** Handles a request. Returns false if there is no memory for it. */
export type HandleRequest = (open: OpenRequest) => boolean;

/** Requests of a connection that are handled at once; those sent further ahead wait. */
const MAX_HANDLED = 4;
/** Memory of a connection without requests. */
const CONNECTION_BYTES = 16 * 1024;
/** Memory of an incomplete head, relative to its bytes: it is kept as strings, which may be very short. */
const HEAD_FACTOR = 20;
/** Time after which a connection is closed whose client does not read its answers. */
const UNREAD_MILLISECONDS = 30_000;
/**
 * Time without progress after which a connection is closed on which requests wait for earlier ones. It is not read then, so
 * that its client may be gone without notice.
 */
const STALLED_MILLISECONDS = 10_000;
/** Time after which a connection is closed whose client goes on sending a body that has been answered, without progress. */
const DISCARD_MILLISECONDS = 10_000;
/** The same, with progress. */
const MAX_DISCARD_MILLISECONDS = 60_000;

export class ClientConnection implements LimitedConnection {
  readonly socket: Socket;
  private readonly _share: MemoryShare;
  private readonly _handled = new Set<OpenRequest>();
  private readonly _waiting: OpenRequest[] = [];
  private readonly _handle: HandleRequest;
  private _requests = 0;
  private readonly _feed: ParserFeed;
  /** Memory of the requests that wait. */
  private _waitingBytes = 0;
  /** Bytes that had been parsed when the last request ended. */
  private _bytesBefore = 0;
  private _progress = 0;
  private _progressAt: number;
  /** A request that was answered before its body had ended; the rest is discarded. */
  private _unfinished: { request: http.IncomingMessage; since: number } | undefined;

  /** `handle` is called for each request, in the order of their arrival. */
  constructor(socket: Socket, share: MemoryShare, now: number, handle: HandleRequest) {
    this.socket = socket;
    this._share = share;
    this._progressAt = now;
    this._handle = handle;
    this._feed = new ParserFeed(socket, {
      isStalled: () => this._waiting.length > 0,
      onParsed: () => this._onParsed(),
    });
  }

  /** Whether the client has sent no request yet. */
  get isNew(): boolean {
    return this._requests === 0;
  }

  /** Whether all requests have been answered. */
  get isResting(): boolean {
    return this._handled.size === 0 && this._waiting.length === 0;
  }

  /** Bytes that have been parsed. */
  get receivedBytes(): number {
    return this._feed.parsedBytes;
  }

  get idleSince(): number | undefined {
    return this._awaitsClient ? this._progressAt : undefined;
  }

  close(): void {
    this.socket.destroy();
  }

  /** Handles a request now, or once earlier ones have been answered. */
  add(open: OpenRequest, now: number): void {
    this._requests++;
    this._noteProgress(now);
    if (this._handled.size < MAX_HANDLED) return this._begin(open);
    if (!this._share.take(open.headBytes)) return this.close();
    this._waiting.push(open);
    this._waitingBytes += open.headBytes;
    this._updateEvict();
  }

  /** The answer to a request has been handed to the operating system, or the connection is closed. */
  end(open: OpenRequest, now: number): void {
    this._handled.delete(open);
    if (this.socket.destroyed) return;
    this._noteProgress(now);
    this._bytesBefore = this._feed.parsedBytes;
    if (!open.request.complete) this._unfinished = { request: open.request, since: now };
    if (this._waiting.length > 0) this._beginNext();
    if (this._waiting.length === 0) this._feed.resume();
  }

  /** Counts what the connection holds, and closes it if its client has kept it waiting for too long. */
  check(now: number): void {
    this._noteProgress(now);
    this._checkUnfinished();
    const unread = this.socket.writableLength;
    const isUnread = unread > 0 && now - this._progressAt > UNREAD_MILLISECONDS;
    const isStalled = this._waiting.length > 0 && now - this._progressAt > STALLED_MILLISECONDS;
    if (isUnread || isStalled || this._isEndless(now)) return this.close();
    this._updateEvict();
    this._count(unread);
  }

  /** Call when the connection is closed. */
  release(): void {
    this._share.release();
    // Node.js tells this only of the request whose answer comes next.
    for (const { response } of [...this._handled, ...this._waiting.splice(0)])
      if (!response.destroyed) response.destroy().emit('close');
  }

  private get _awaitsClient(): boolean {
    if (this.isResting || this._waiting.length > 0 || this.socket.writableLength > 0) return true;
    for (const { request } of this._handled) if (!request.complete) return true;
    return false;
  }

  private _onParsed(): void {
    if (this._headBytes > 0) this._count(0);
  }

  private _count(unreadBytes: number): void {
    const received = this._waitingBytes + this._feed.pendingBytes + this._headBytes * HEAD_FACTOR;
    if (!this._share.resize(CONNECTION_BYTES + received + unreadBytes)) this.close();
  }

  /** Bytes of an incomplete head. */
  private get _headBytes(): number {
    const isHead = this.isResting && !this._unfinished;
    return isHead ? this._feed.parsedBytes - this._bytesBefore : 0;
  }

  /** Whether the client goes on with a body that has been answered. */
  private _isEndless(now: number): boolean {
    if (!this._unfinished) return false;
    const isStuck = now - Math.max(this._progressAt, this._unfinished.since) > DISCARD_MILLISECONDS;
    return isStuck || now - this._unfinished.since > MAX_DISCARD_MILLISECONDS;
  }

  private _checkUnfinished(): void {
    if (!this._unfinished?.request.complete) return;
    this._unfinished = undefined;
    this._bytesBefore = this._feed.parsedBytes;
  }

  private _begin(open: OpenRequest): void {
    this._handled.add(open);
    if (!this._handle(open)) this.close();
  }

  private _beginNext(): void {
    const open = this._waiting.shift()!;
    this._share.give(open.headBytes);
    this._waitingBytes -= open.headBytes;
    this._begin(open);
  }

  /** Others may have the memory of this connection while its client is awaited. */
  private _updateEvict(): void {
    this._share.evict = this._awaitsClient ? () => this.close() : undefined;
  }

  private _noteProgress(now: number): void {
    const { bytesRead, bytesWritten, writableLength } = this.socket;
    const progress = bytesRead + bytesWritten - writableLength;
    if (progress !== this._progress) this._progressAt = now;
    this._progress = progress;
  }
}
