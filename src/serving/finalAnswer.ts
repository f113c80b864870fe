/** Sends the final answer of a request to its caller, and reports how the request ended. */
import type { AnswerHeaders } from './backendCall.js';
import type { CallerExchange } from './callerExchange.js';
import { OWN_STATUS } from './callerExchange.js';
import type { EndFields, RequestOutcome } from './requestTrace.js';
import type { TrackedServer } from './trackedServer.js';

/** Called once with the outcome of a request and the fields to log. */
export type EndListener = (outcome: RequestOutcome, fields: EndFields) => void;

/** State of a request that is given up. */
export interface GiveUpDetails {
  mayHaveRun: boolean;
  /** When the caller should retry a request that has not run. */
  retryAfterMilliseconds: number;
}

export class FinalAnswer {
  private readonly _exchange: CallerExchange;
  private readonly _onEnd: EndListener;
  private _ended = false;

  /** `onEnd` is called once, when the request ends. */
  constructor(exchange: CallerExchange, onEnd: EndListener) {
    this._exchange = exchange;
    this._onEnd = onEnd;
  }

  /** Whether the request has ended. */
  get ended(): boolean {
    return this._ended;
  }

  /** Forwards the complete answer of a server. */
  forward(server: TrackedServer, status: number, headers: AnswerHeaders, body: Buffer): void {
    this._exchange.answer(status, headers, body);
    this._end('answered', { status, server: server.record.id });
  }

  /** Completes a stream whose events have been forwarded. */
  endStream(server: TrackedServer, status: number): void {
    this._exchange.end();
    this._end('answered', { status, server: server.record.id });
  }

  /** Sends an error answer of this process. `retryAfterMilliseconds` tells the caller when to retry. */
  refuse(status: number, reason: string, retryAfterMilliseconds?: number): void {
    this._exchange.refuse(status, reason, retryAfterMilliseconds);
    this._end(status === OWN_STATUS.notRun ? 'refused' : 'failed', { status, reason });
  }

  /**
   * Ends a request that no server can continue: cuts off an answer that has begun, otherwise tells the caller
   * whether the request may have run.
   */
  giveUp(reason: string, { mayHaveRun, retryAfterMilliseconds }: GiveUpDetails): void {
    if (this._exchange.headersSent || mayHaveRun) return this.fail(reason);
    this.refuse(OWN_STATUS.notRun, reason, retryAfterMilliseconds);
  }

  /** Ends a request that may have run and cannot be continued. */
  fail(reason: string): void {
    if (this._exchange.headersSent) this.cut(reason);
    else this.refuse(OWN_STATUS.unknown, reason);
  }

  /** Ends a request at its deadline. `sent` tells whether it may have run. */
  timeOut(sent: boolean): void {
    if (this._exchange.headersSent) return this.cut('time over');
    if (sent) return this.refuse(OWN_STATUS.timeOut, 'time over');
    this.refuse(OWN_STATUS.notRun, 'time over before the request was sent', 0);
  }

  /** Closes the caller's connection, so that the partial answer cannot be taken for a complete one. */
  cut(reason: string): void {
    this._exchange.abort();
    this._end('cut', { reason });
  }

  /** Ends a request whose caller has disconnected. */
  callerDisconnected(): void {
    this._end('caller-gone', {});
  }

  private _end(outcome: RequestOutcome, fields: EndFields): void {
    if (this._ended) return;
    this._ended = true;
    this._onEnd(outcome, fields);
  }
}
