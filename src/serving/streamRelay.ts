/** Forwards the events of a stream in order and exactly once, even when several backend servers send them in turn. */
import { ByteCollector } from '../utils/byteCollector.js';
import type { Clock } from '../utils/clock.js';
import type { AnswerHeaders } from './backendCall.js';
import type { CallerExchange } from './callerExchange.js';
import { EventSplitter } from './eventSplitter.js';

/** A longer event is no event. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** Limit for an answer that is held back. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;

/** The beginning of an answer that is not sent to the caller yet. */
interface HeldAnswer {
  head: { status: number; headers: AnswerHeaders } | undefined;
  events: ByteCollector;
}

/** Forwards complete events only, so that a stream can be resumed on another server after any event. */
export class StreamRelay {
  private readonly _exchange: CallerExchange;
  private readonly _clock: Clock;
  private _held: HeldAnswer | undefined;
  private _splitter = new EventSplitter();
  private _lastEventId: string;
  private _begun = false;
  /** When any server last sent a part of the answer, to measure the longest pause. */
  private _heardAt = 0;
  /** When the current server last sent bytes. */
  private _serverHeardAt = 0;
  private _firstBytesAt = 0;
  private _longestPause = 0;

  /** `lastEventId` is the id of the last event that the caller has received, '' for none. */
  constructor(exchange: CallerExchange, lastEventId: string, clock: Clock) {
    this._exchange = exchange;
    this._clock = clock;
    this._lastEventId = lastEventId;
  }

  /** Whether the head of an answer has been forwarded, or is held back. */
  get begun(): boolean {
    return this._begun;
  }

  get lastEventId(): string {
    return this._lastEventId;
  }

  /** Monotonic milliseconds of the first bytes of the body, 0 before them. */
  get firstBytesAt(): number {
    return this._firstBytesAt;
  }

  /** Longest time between two parts of the body, in milliseconds. */
  get longestPause(): number {
    return this._longestPause;
  }

  /** Milliseconds since the current server last sent bytes. */
  silentFor(): number {
    return this._clock.now() - this._serverHeardAt;
  }

  /** Holds the answer back from the caller until {@link StreamRelay.release}. No effect once it has begun. */
  hold(): void {
    if (!this._begun) this._held ??= { head: undefined, events: new ByteCollector() };
  }

  /** Whether the answer is held back. */
  get isHeld(): boolean {
    return this._held !== undefined;
  }

  /** Sends an answer that was held back, now that it is complete. */
  release(): void {
    const held = this._held;
    this._held = undefined;
    if (held?.head) this._exchange.answer(held.head.status, held.head.headers, held.events.take());
  }

  /** Sends the head to the caller, unless the head of an earlier server's answer has been sent. */
  begin(status: number, headers: AnswerHeaders): void {
    this._serverHeardAt = this._clock.now();
    if (this._begun) return;
    this._heardAt = this._serverHeardAt;
    this._begun = true;
    if (this._held) this._held.head = { status, headers };
    else this._exchange.begin(status, headers);
  }

  /** Forwards the events that `bytes` complete. Returns false when the caller reads too slowly. */
  push(bytes: Buffer): boolean {
    const now = this._clock.now();
    if (this._firstBytesAt > 0) this._longestPause = Math.max(this._longestPause, now - this._heardAt);
    else this._firstBytesAt = now;
    this._heardAt = now;
    this._serverHeardAt = now;
    let canTakeMore = true;
    for (const event of this._splitter.push(bytes)) {
      if (event.id !== undefined) {
        if (isRepeated(event.id, this._lastEventId)) continue;
        this._lastEventId = event.id;
      }
      canTakeMore = this._send(event.bytes) && canTakeMore;
    }
    return canTakeMore;
  }

  /**
   * Whether a stream that ends now was broken off: inside an event, or before its first one unless the caller had
   * events of it already.
   */
  get isBrokenOff(): boolean {
    return this._splitter.rest.length > 0 || (this._firstBytesAt === 0 && this._lastEventId === '');
  }

  /** Whether more has been buffered than any sound answer needs. */
  get isOverfull(): boolean {
    return this._splitter.rest.length > MAX_EVENT_BYTES || (this._held?.events.length ?? 0) > MAX_HELD_BYTES;
  }

  private _send(event: Buffer): boolean {
    if (!this._held) return this._exchange.write(event);
    this._held.events.add(event);
    return true;
  }

  /** Drops an event that was received only in part. */
  dropPartialEvent(): void {
    this._splitter = new EventSplitter();
  }
}

/** Whether an event has been forwarded before. Ids are ascending numbers. */
function isRepeated(id: string, last: string): boolean {
  if (last === '') return false;
  const number = Number(id);
  const lastNumber = Number(last);
  return Number.isFinite(number) && Number.isFinite(lastNumber) && number <= lastNumber;
}
