/** Takes the answer of an attempt as it comes: events of a stream are passed on, all else is kept until it is whole. */
import type { PartialAnswer } from './answerClassification.js';
import type { AnswerHeaders, BackendCall } from './backendCall.js';
import type { CallerExchange } from './callerExchange.js';
import type { StreamRelay } from './streamRelay.js';

/** Largest answer of a request that is no stream, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const SUCCESS = 200;

export class AnswerReceiver {
  private readonly _exchange: CallerExchange;
  private readonly _relay: StreamRelay | undefined;
  private _answer: PartialAnswer | undefined;
  private _isSealed = false;

  /** `relay` passes the events on of a request that is a stream. */
  constructor(exchange: CallerExchange, relay: StreamRelay | undefined) {
    this._exchange = exchange;
    this._relay = relay;
  }

  /** The answer of the attempt under way as far as it has come; undefined before its head. */
  get answer(): PartialAnswer | undefined {
    return this._answer;
  }

  /** Whether the events of the attempt under way are passed on as they come: never those without the proof of a server. */
  get isForwarding(): boolean {
    return this._relay?.begun === true && this._answer?.status === SUCCESS && this._isSealed;
  }

  /** Another attempt begins. */
  reset(): void {
    this._answer = undefined;
  }

  /** Takes the head; `sealed` when it carries the proof of a server. */
  onHead(status: number, headers: AnswerHeaders, sealed: boolean): void {
    this._answer = { status, headers, body: [], length: 0 };
    this._isSealed = sealed;
    if (status === SUCCESS && sealed) this._relay?.begin(status, headers);
  }

  /** Takes a part of the body; false when the answer is larger than any may be. */
  onData(bytes: Buffer, call: BackendCall | undefined): boolean {
    const answer = this._answer;
    if (!answer) return true;
    if (this._relay && this.isForwarding) {
      this._forward(this._relay, bytes, call);
      return true;
    }
    answer.body.push(bytes);
    answer.length += bytes.length;
    return answer.length <= MAX_ANSWER_BYTES;
  }

  private _forward(relay: StreamRelay, bytes: Buffer, call: BackendCall | undefined): void {
    if (relay.push(bytes)) return;
    call?.pause();
    this._exchange.onceWritable(() => call?.resume());
  }
}
