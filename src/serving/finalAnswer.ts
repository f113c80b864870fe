/** Gives a caller the final answer of its request, once, and notes how the request ended. */
import type { AnswerHeaders } from './backendCall.js';
import type { CallerExchange } from './callerExchange.js';
import { OWN_STATUS } from './callerExchange.js';
import type { EndFields, RequestOutcome } from './requestTrace.js';
import type { TrackedServer } from './trackedServer.js';

/** Hears of the end before it is logged. */
export type EndListener = (outcome: RequestOutcome, fields: EndFields) => void;

export class FinalAnswer {
  private readonly _exchange: CallerExchange;
  private readonly _onEnd: EndListener;
  private _given = false;

  /** `onEnd` is called once. */
  constructor(exchange: CallerExchange, onEnd: EndListener) {
    this._exchange = exchange;
    this._onEnd = onEnd;
  }

  /** Whether the request has ended. */
  get given(): boolean {
    return this._given;
  }

  /** Passes the whole answer of a server on. */
  pass(server: TrackedServer, status: number, headers: AnswerHeaders, body: Buffer): void {
    this._exchange.answer(status, headers, body);
    this._end('answered', { status, server: server.record.id });
  }

  /** A stream that was passed on event by event is whole. */
  endStream(server: TrackedServer, status: number): void {
    this._exchange.end();
    this._end('answered', { status, server: server.record.id });
  }

  /** Answers for this process itself. `retryAfterMilliseconds` says when to come back. */
  refuse(status: number, reason: string, retryAfterMilliseconds?: number): void {
    this._exchange.refuse(status, reason, retryAfterMilliseconds);
    this._end(status === OWN_STATUS.notRun ? 'refused' : 'failed', { status, reason });
  }

  /** Closes the caller's connection, so that what was passed on cannot look whole. */
  cut(reason: string): void {
    this._exchange.cut();
    this._end('cut', { reason });
  }

  /** The caller has left. */
  callerGone(): void {
    this._end('caller-gone', {});
  }

  private _end(outcome: RequestOutcome, fields: EndFields): void {
    if (this._given) return;
    this._given = true;
    this._onEnd(outcome, fields);
  }
}
