/** Receives the answer of an attempt: forwards events of a stream as they arrive, and buffers any other answer. */
import type { AnswerClass, PartialAnswer } from './answerClassification.js';
import { classifyAnswer } from './answerClassification.js';
import type { HeaderNames } from './headerNames.js';
import type { AnswerHeaders, BackendCall, CallFailure } from './backendCall.js';
import type { CallerExchange } from './callerExchange.js';
import type { StreamRelay } from './streamRelay.js';
import type { Framing } from '../utils/answerHead.js';
import { framingOf } from '../utils/answerHead.js';
import { ByteCollector } from '../utils/byteCollector.js';
import type { Clock } from '../utils/clock.js';

/** Size limit for buffered answers. */
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
  /** Bytes of the answer that the memory of the request counts. */
  private _countedBytes = 0;
  private readonly _clock: Clock;
  /** Monotonic milliseconds of the first bytes of the current attempt's body; undefined before them. */
  private _bodyBeganAt: number | undefined;

  /** `relay` forwards the events when the request is a stream. */
  constructor(exchange: CallerExchange, relay: StreamRelay | undefined, clock: Clock) {
    this._exchange = exchange;
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
    if (!this._relay?.begun) this._giveMemory();
  }

  /** Receives the head. `sealed` tells whether it carries the seal, the proof that a server ran the request. */
  onHead(status: number, headers: AnswerHeaders, sealed: boolean): void {
    this._answer = { status, headers, body: new ByteCollector() };
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
    if (!this._takeMemory(answer.body.growthFor(bytes))) return false;
    answer.body.add(bytes);
    return answer.body.length <= MAX_ANSWER_BYTES;
  }

  private _forward(relay: StreamRelay, bytes: Buffer, call: BackendCall | undefined): boolean {
    const canTakeMore = relay.push(bytes);
    if (relay.isOverfull || (relay.isHeld && !this._takeMemory(bytes.length))) return false;
    if (canTakeMore) return true;
    call?.pause();
    const { memory } = this._exchange;
    memory.evict = () => this._exchange.abort();
    this._exchange.onceWritable(() => {
      memory.evict = undefined;
      call?.resume();
    });
    return true;
  }

  private _takeMemory(bytes: number): boolean {
    if (!this._exchange.memory.take(bytes)) return false;
    this._countedBytes += bytes;
    return true;
  }

  private _giveMemory(): void {
    this._exchange.memory.give(this._countedBytes);
    this._countedBytes = 0;
  }
}
