/** Receives the answer of an attempt: forwards events of a stream as they arrive, and buffers any other answer. */
import type { AnswerClass, PartialAnswer } from './answerClassification.js';
import { classifyAnswer } from './answerClassification.js';
import type { HeaderNames } from './headerNames.js';
import type { AnswerHeaders, BackendCall, CallFailure } from './backendCall.js';
import type { CallerExchange } from './callerExchange.js';
import type { StreamRelay } from './streamRelay.js';
import type { AnswerMemory, AnswerShare } from './answerMemory.js';
import type { Framing } from '../utils/answerHead.js';
import { framingOf } from '../utils/answerHead.js';
import type { Clock } from '../utils/clock.js';

/** Size limit for buffered answers, and for the part of a stream that its caller has not read yet. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const SUCCESS = 200;

/** How far the answer of an attempt is. */
export interface AnswerProgress {
  /** Undefined before the head. */
  status: number | undefined;
  /** Milliseconds since the first bytes of the body; undefined before them. */
  answeringFor: number | undefined;
  /** Whether the answer has neither a length nor chunks. */
  endsWithConnection: boolean;
}

export class AnswerReceiver {
  private readonly _exchange: CallerExchange;
  private readonly _relay: StreamRelay | undefined;
  private _answer: PartialAnswer | undefined;
  private _isSealed = false;
  /** Bytes of an answer without length forwarded while the caller is slow to read. */
  private _unreadBytes = 0;
  private readonly _share: AnswerShare;
  private readonly _clock: Clock;
  /** Monotonic milliseconds of the first bytes of the current attempt's body; undefined before them. */
  private _bodyBeganAt: number | undefined;

  /** `relay` forwards the events when the request is a stream. */
  constructor(exchange: CallerExchange, relay: StreamRelay | undefined, memory: AnswerMemory, clock: Clock) {
    this._exchange = exchange;
    this._share = memory.share();
    // A complete answer is kept until a slow caller has read it.
    exchange.onceClosed(() => this._share.release());
    this._relay = relay;
    this._clock = clock;
  }

  /** The part of the current attempt's answer received so far; undefined before its head. */
  get answer(): PartialAnswer | undefined {
    return this._answer;
  }

  /** Milliseconds since the first bytes of the current attempt's body; undefined before them. */
  get answeringFor(): number | undefined {
    return this._bodyBeganAt === undefined ? undefined : this._clock.now() - this._bodyBeganAt;
  }

  get progress(): AnswerProgress {
    return {
      status: this._answer?.status,
      answeringFor: this.answeringFor,
      endsWithConnection: this.endsWithConnection,
    };
  }

  /** Whether events of the current attempt are forwarded as they arrive; this requires the server's seal. */
  get isForwarding(): boolean {
    return this._relay?.begun === true && this._answer?.status === SUCCESS && this._isSealed;
  }

  /** The failure of an answer that was broken off although its connection was closed in order; undefined for others. */
  get brokenOff(): CallFailure | undefined {
    const isBrokenOff = this.isForwarding && this._relay?.isBrokenOff === true;
    return isBrokenOff ? { sent: true, reason: 'ended inside an event', brokeOff: true } : undefined;
  }

  /** Whether the current attempt's answer has neither a length nor chunks, so that its end may be that of its server. */
  get endsWithConnection(): boolean {
    return this.framing === 'connection';
  }

  /** The form of the current attempt's answer; undefined without an answer that has a body. */
  get framing(): Framing | undefined {
    if (!this._answer || !this._exchange.hasBody(this._answer.status)) return undefined;
    return framingOf(this._answer.headers);
  }

  /** What the current attempt's answer means, by its head. */
  classify(names: HeaderNames): AnswerClass {
    const { status, headers } = this._answer!;
    return classifyAnswer(status, headers, names);
  }

  /** Discards the answer, before another attempt. */
  reset(): void {
    this._answer = undefined;
    this._bodyBeganAt = undefined;
    if (!this._relay?.begun) this._share.release();
  }

  /** Receives the head. `sealed` tells whether it carries the seal, the proof that a server ran the request. */
  onHead(status: number, headers: AnswerHeaders, sealed: boolean): void {
    this._answer = { status, headers, body: [], length: 0 };
    this._bodyBeganAt = undefined;
    this._isSealed = sealed;
    if (status === SUCCESS && sealed) this._relay?.begin(status, headers);
  }

  /** Receives a part of the body. Returns false when what has to be buffered exceeds the size limit. */
  onData(bytes: Buffer, call: BackendCall | undefined): boolean {
    const answer = this._answer;
    if (!answer) return true;
    this._bodyBeganAt ??= this._clock.now();
    if (this._relay && this.isForwarding) return this._forward(this._relay, bytes, call);
    answer.body.push(bytes);
    answer.length += bytes.length;
    return this._share.add(bytes.length) && answer.length <= MAX_ANSWER_BYTES;
  }

  private _forward(relay: StreamRelay, bytes: Buffer, call: BackendCall | undefined): boolean {
    const canTakeMore = relay.push(bytes);
    if (relay.isOverfull || (relay.isHeld && !this._share.add(bytes.length))) return false;
    if (canTakeMore) return true;
    if (this.endsWithConnection) return this._buffer(bytes);
    call?.pause();
    this._exchange.onceWritable(() => call?.resume());
    return true;
  }

  /** The HTTP client fails if an answer that ends with its connection does so during a pause: it must be read on. */
  private _buffer(bytes: Buffer): boolean {
    if (this._unreadBytes === 0) this._exchange.onceWritable(() => this._onRead());
    this._unreadBytes += bytes.length;
    return this._share.add(bytes.length) && this._unreadBytes <= MAX_ANSWER_BYTES;
  }

  private _onRead(): void {
    this._unreadBytes = 0;
    this._share.release();
  }
}
