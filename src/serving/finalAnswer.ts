/** Gives a caller the final answer of its request, once, and notes how the request ended. */
import type { AnswerHeaders } from './backendCall.js';
import type { CallerExchange } from './callerExchange.js';
import { OWN_STATUS } from './callerExchange.js';
import type { EndFields, RequestOutcome } from './requestTrace.js';
import type { TrackedServer } from './trackedServer.js';

/** Hears of the end before it is logged. */
export type EndListener = (outcome: RequestOutcome, fields: EndFields) => void;

/** How a request stands that is given up. */
export interface GiveUpDetails {
  /** Whether the caller has a part of the answer. */
  begun: boolean;
  mayHaveRun: boolean;
  /** When to come back with what has not run. */
  retryAfterMilliseconds: number;
}

export class FinalAnswer {
  private readonly _exchange: CallerExchange;
  private readonly _onEnd: EndListener;
  private _isFinal = false;

  /** `onEnd` is called once. */
  constructor(exchange: CallerExchange, onEnd: EndListener) {
    this._exchange = exchange;
    this._onEnd = onEnd;
  }

  /** Whether the request has ended. */
  get isFinal(): boolean {
    return this._isFinal;
  }

  /** Passes the whole answer of a server on. */
  forward(server: TrackedServer, status: number, headers: AnswerHeaders, body: Buffer): void {
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

  /** No server can go on: cuts an answer that has begun, and says of any other whether it may have run. */
  giveUp(reason: string, { begun, mayHaveRun, retryAfterMilliseconds }: GiveUpDetails): void {
    if (begun || mayHaveRun) return this.fail(begun, reason);
    this.refuse(OWN_STATUS.notRun, reason, retryAfterMilliseconds);
  }

  /** The request may have run, and nobody can go on with it. */
  fail(begun: boolean, reason: string): void {
    if (begun) this.cut(reason);
    else this.refuse(OWN_STATUS.unknown, reason);
  }

  /** The caller or the operator no longer waits; `sent` when the request may have run. */
  timeOut(begun: boolean, sent: boolean): void {
    if (begun) return this.cut('time over');
    if (sent) return this.refuse(OWN_STATUS.timeOut, 'time over');
    this.refuse(OWN_STATUS.notRun, 'time over before the request was sent', 0);
  }

  /** Closes the caller's connection, so that what was passed on cannot look whole. */
  cut(reason: string): void {
    this._exchange.abort();
    this._end('cut', { reason });
  }

  /** The caller has left. */
  callerDisconnected(): void {
    this._end('caller-gone', {});
  }

  private _end(outcome: RequestOutcome, fields: EndFields): void {
    if (this._isFinal) return;
    this._isFinal = true;
    this._onEnd(outcome, fields);
  }
}
