/** Passes the events of a stream on, in order and once each, over as many backend servers as it takes. */
import type { Clock } from '../utils/clock.js';
import type { AnswerHeaders } from './backendCall.js';
import type { CallerExchange } from './callerExchange.js';
import { EventSplitter } from './eventSplitter.js';

/** Only whole events are passed on, so that a stream can go on elsewhere after any event. */
export class StreamRelay {
  private readonly _exchange: CallerExchange;
  private readonly _clock: Clock;
  private _splitter = new EventSplitter();
  private _lastEventId: string;
  private _begun = false;
  private _heardAt = 0;
  /** When the server that sends the events now was last heard. */
  private _serverHeardAt = 0;
  private _firstEventAt = 0;
  private _longestPause = 0;

  /** `lastEventId` is the last event that the caller has seen, '' for none. */
  constructor(exchange: CallerExchange, lastEventId: string, clock: Clock) {
    this._exchange = exchange;
    this._clock = clock;
    this._lastEventId = lastEventId;
  }

  /** Whether the caller has the head of the answer. */
  get begun(): boolean {
    return this._begun;
  }

  get lastEventId(): string {
    return this._lastEventId;
  }

  /** Monotonic milliseconds at which the first event came, 0 before. */
  get firstEventAt(): number {
    return this._firstEventAt;
  }

  /** Longest time between bytes after the first event, in milliseconds. */
  get longestPause(): number {
    return this._longestPause;
  }

  /** Milliseconds since the server that sends the events now was last heard. */
  silentFor(): number {
    return this._clock.now() - this._serverHeardAt;
  }

  /** Sends the head, unless that of an earlier server has been sent. */
  begin(status: number, headers: AnswerHeaders): void {
    this._serverHeardAt = this._clock.now();
    if (this._begun) return;
    this._heardAt = this._serverHeardAt;
    this._begun = true;
    this._exchange.begin(status, headers);
  }

  /** Passes whole events on; false when the caller reads too slowly. */
  push(bytes: Buffer): boolean {
    const now = this._clock.now();
    if (this._firstEventAt > 0) this._longestPause = Math.max(this._longestPause, now - this._heardAt);
    else this._firstEventAt = now;
    this._heardAt = now;
    this._serverHeardAt = now;
    let canTakeMore = true;
    for (const event of this._splitter.push(bytes)) {
      if (event.id !== undefined) {
        if (isRepeated(event.id, this._lastEventId)) continue;
        this._lastEventId = event.id;
      }
      canTakeMore = this._exchange.write(event.bytes) && canTakeMore;
    }
    return canTakeMore;
  }

  /** Drops an event that was broken off. */
  dropPartialEvent(): void {
    this._splitter = new EventSplitter();
  }
}

/** Whether an event has been passed on before. Ids are numbers that rise. */
function isRepeated(id: string, last: string): boolean {
  if (last === '') return false;
  const number = Number(id);
  const lastNumber = Number(last);
  return Number.isFinite(number) && Number.isFinite(lastNumber) && number <= lastNumber;
}
