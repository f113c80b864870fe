/** Carries one admitted request to backend servers until it has an answer. */
import type { AnswerHeaders, BackendCallListener, CallFailure } from './backendCall.js';
import { RequestTurn } from '../crashes/requestTurn.js';
import { SharedInterval } from '../utils/sharedInterval.js';
import { MISDIRECTED, noteAnswerHead } from './answerHead.js';
import { AnswerReceiver } from './answerReceiver.js';
import type { BackendCall } from './backendCall.js';
import { OWN_STATUS } from './callerExchange.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { PartialAnswer } from './answerJudgement.js';
import { handoverDelay, isGoodEnd, isSilent, judgeAnswer } from './answerJudgement.js';
import { CurrentAttempt } from './currentAttempt.js';
import { FinalAnswer } from './finalAnswer.js';
import type { ForwardServices } from './forwardServices.js';
import type { NoAttempt } from './noAttempt.js';
import { mayPass, noAttemptOf } from './noAttempt.js';
import { RequestAttempts } from './requestAttempts.js';
import { RequestHandover } from './requestHandover.js';
import type { EndFields, RequestOutcome } from './requestTrace.js';
import { RequestTrace } from './requestTrace.js';
import { StreamRelay } from './streamRelay.js';
import type { TrackedServer } from './trackedServer.js';

/** How often a request looks at its server, or for one that it waits for: several times within the shortest patience. */
const WATCH_INTERVAL_MILLISECONDS = 50;
const watches = new SharedInterval(WATCH_INTERVAL_MILLISECONDS);

export class ForwardedRequest {
  private readonly _services: ForwardServices;
  private readonly _request: AdmittedRequest;
  private readonly _trace: RequestTrace;
  private readonly _relay: StreamRelay | undefined;
  private readonly _received: AnswerReceiver;
  private readonly _current: CurrentAttempt;
  private readonly _attempts: RequestAttempts;
  private readonly _turn: RequestTurn;
  private readonly _handover: RequestHandover;
  private readonly _handoverDelay: number;
  private readonly _final: FinalAnswer;
  private readonly _done: () => void;
  /** Why there was no next attempt when one was last wanted; undefined while there is one. */
  private _noAttempt: NoAttempt | undefined;
  /** Whether a stream that has begun waits until it can go on elsewhere. */
  private _isWaiting = false;
  /** Whether the request may have run somewhere. */
  private _mayHaveRun = false;
  private _deadlineTimer: NodeJS.Timeout | undefined;
  private _endWatch: () => void = () => undefined;

  /** `done` is called once, when the request has ended. */
  constructor(services: ForwardServices, request: AdmittedRequest, done: () => void) {
    this._services = services;
    this._request = request;
    this._done = done;
    this._final = new FinalAnswer(request.exchange, (outcome, fields) => this._onEnded(outcome, fields));
    this._handoverDelay = handoverDelay(services.random.fraction());
    this._attempts = new RequestAttempts(services, request, () => this._relay?.begun === true);
    this._turn = new RequestTurn(services.suspicions, request, services.clock);
    this._trace = new RequestTrace(request, services.log, services.metrics, services.clock);
    this._handover = new RequestHandover(services, request, this._attempts, this._trace, {
      callListener: (server) => this._listenerFor(server),
      onBegun: (server) => this._noteAttempt(server),
      onReady: (call, startedAt) => this._onHandoverReady(call, startedAt),
      onFailed: (server, failure, startedAt) => this._onHandoverFailed(server, failure, startedAt),
    });
    if (request.route.kind === 'stream')
      this._relay = new StreamRelay(request.exchange, request.lastEventId, services.clock);
    this._received = new AnswerReceiver(request.exchange, this._relay);
    this._current = new CurrentAttempt(services.clock, this._relay);
  }

  start(): void {
    const { exchange } = this._request;
    if (exchange.ended) return this._onCallerGone();
    exchange.onCallerGone(() => this._onCallerGone());
    this._deadlineTimer = setTimeout(() => this._onTimeOver(), Math.max(0, this._attempts.leftMilliseconds));
    // a stream shows by its head that it has begun; other requests that may run once are left to end where they are
    if (this._attempts.repeatable || this._relay) this._endWatch = watches.add(() => this._watch());
    this._attempt();
  }

  /** Sends the request to the best server there is. */
  private _attempt(): void {
    if (this._final.given) return;
    if (!this._turn.isFree) return void this._awaitTurn();
    const found = this._attempts.find();
    if (found.kind === 'none') return this._giveUp(noAttemptOf(found)!);
    const { server } = found;
    this._received.forget();
    const outgoing = this._attempts.outgoing(server, this._relay?.lastEventId ?? '');
    if (this._current.send(server, outgoing, this._listenerFor(server))) this._noteAttempt(server);
    else this._giveUp('all busy');
  }

  /** The same request is suspected of ending its servers: it runs once at a time, if at all. */
  private async _awaitTurn(): Promise<void> {
    if (this._turn.isAwaited) return;
    const outcome = await this._turn.take();
    if (outcome === 'granted') this._attempt();
    else if (!this._final.given) this._giveUp(outcome);
  }

  private _noteAttempt(server: TrackedServer): void {
    this._noAttempt = undefined;
    this._attempts.noteSent(server);
    this._trace.sent(server, this._attempts.count);
  }

  private _listenerFor(server: TrackedServer): BackendCallListener {
    return {
      onHead: (status, headers) => this._onHead(server, status, headers),
      onData: (bytes) => this._onData(bytes),
      onEnd: () => this._onEnd(server),
      onFailed: (failure) => this._afterFailure(server, failure),
    };
  }

  private _onHead(server: TrackedServer, status: number, headers: AnswerHeaders): void {
    const { names } = this._services;
    const { exchange, model } = this._request;
    if (headers[names.requestId] !== exchange.requestId) return this._onForeignAnswer(server);
    server.health.noteFirstByte(this._current.waited);
    noteAnswerHead(server, status, headers, names, model);
    this._received.onHead(status, headers, headers[names.seal] !== undefined);
  }

  private _onData(bytes: Buffer): void {
    if (!this._received.onData(bytes, this._current.call)) this._onForeignAnswer(this._current.call!.server);
  }

  /** The answer is for another request: nothing of this connection can be trusted. */
  private _onForeignAnswer(server: TrackedServer): void {
    this._current.end('foreign-answer');
    this._afterFailure(server, { sent: true, reason: 'foreign-answer' });
  }

  private _onEnd(server: TrackedServer): void {
    const answer = this._received.answer!;
    this._current.forget(server);
    if (this._received.isPassedOn) {
      server.health.noteOutcome('succeeded');
      this._turn.noteGoodEnd();
      return this._final.endStream(server, answer.status);
    }
    this._judge(server, answer);
  }

  /** Acts on what a whole answer means. */
  private _judge(server: TrackedServer, answer: PartialAnswer): void {
    const { status, headers } = answer;
    const verdict = judgeAnswer(status, headers, this._services.names);
    if (verdict === 'not-run') return this._onRejected(server, status);
    this._mayHaveRun = true;
    server.health.noteOutcome(verdict === 'failed' || verdict === 'unclear' ? 'failed' : 'succeeded');
    if (isGoodEnd(verdict, status)) this._turn.noteGoodEnd();
    if (verdict !== 'answered' && this._attempts.repeatable && this._goOnElsewhere()) return;
    if (verdict === 'unclear') return this._final.refuse(OWN_STATUS.unclear, `status ${status} from server`);
    if (this._relay?.begun) return this._final.cut('stream could not be resumed');
    this._final.pass(server, status, headers, Buffer.concat(answer.body));
  }

  /** The server says that the request has not run. */
  private _onRejected(server: TrackedServer, status: number): void {
    this._noteRejected(server, status);
    if (!this._goOnElsewhere()) this._giveUp(this._noAttempt!);
  }

  private _noteRejected(server: TrackedServer, status: number): void {
    server.health.noteOutcome(status === MISDIRECTED ? 'displaced' : 'rejected');
    this._attempts.noteNotRun(server);
    this._trace.rejected(server, status);
  }

  private _afterFailure(server: TrackedServer, failure: CallFailure): void {
    this._current.forget(server);
    this._trace.attemptFailed(server, failure, this._current.waited);
    if (!failure.sent && !this._handover.isUnderWay) return this._afterUnreachable(server);
    this._mayHaveRun = true;
    if (failure.reason === 'silent') server.health.noteOutcome('silent');
    else server.health.noteOutcome('failed');
    if (failure.brokeOff) void this._afterBreak(server, failure);
    else this._goOnAfter(failure);
  }

  /** The connection broke off: if with the server, whoever sends the request next has to know. */
  private async _afterBreak(server: TrackedServer, failure: CallFailure): Promise<void> {
    if (await this._turn.afterBreak(server.record)) server.health.noteUnreachable();
    const hasGoneOn = this._current.call !== undefined || this._handover.isUnderWay;
    if (!hasGoneOn && !this._final.given) this._goOnAfter(failure);
  }

  private _goOnAfter(failure: CallFailure): void {
    if (this._attempts.repeatable && this._goOnElsewhere()) return;
    this._final.fail(this._relay?.begun === true, failure.reason);
  }

  /** Nothing reached the server, so that the attempt does not count. */
  private _afterUnreachable(server: TrackedServer): void {
    server.health.noteUnreachable();
    const refused = this._attempts.noteUnreachable(server);
    if (refused) this._giveUp(refused);
    else this._attempt();
  }

  /** Goes on with the handover under way, with another attempt or by waiting for one; false when there can be none. */
  private _goOnElsewhere(): boolean {
    if (this._handover.isUnderWay || this._final.given) return true;
    this._noAttempt = this._takeRetry();
    if (this._noAttempt) return this._waitsFor(this._noAttempt);
    this._attempt();
    return true;
  }

  /** Lets a stream that has begun wait for what is missing, and holds nothing meanwhile; false when it is not to wait. */
  private _waitsFor(reason: NoAttempt): boolean {
    this._isWaiting = this._relay?.begun === true && this._attempts.repeatable && mayPass(reason);
    if (this._isWaiting) this._trace.waiting(reason);
    return this._isWaiting;
  }

  private _tryAgain(): void {
    this._isWaiting = false;
    if (!this._goOnElsewhere()) this._giveUp(this._noAttempt!);
  }

  /** Takes permission for one more attempt; returns why there is none. */
  private _takeRetry(): NoAttempt | undefined {
    const refused = this._attempts.takeRetry();
    if (!refused) this._trace.retried();
    return refused;
  }

  /** Looks whether the server is silent for too long, or is about to take another version. */
  private _watch(): void {
    if (this._isWaiting) return this._tryAgain();
    const { call } = this._current;
    if (!call) return;
    if (!this._received.answer && this._attempts.mayBeginTooLate(call.server)) return this._takeBack(call);
    if (this._handover.isUnderWay || !this._attempts.repeatable) return;
    const { switchingFor } = call.server;
    if (switchingFor === 0) this._moveIfSilent(call);
    else if (this._relay && switchingFor > this._handoverDelay)
      this._handover.begin(call.server, this._relay.lastEventId);
  }

  /** No request may begin on an older version after the bound, whatever else is known of it. */
  private _takeBack({ server, sent }: BackendCall): void {
    this._trace.takenBack(server);
    this._current.end('not-needed');
    this._afterFailure(server, { sent, reason: 'not begun before the bound of its version' });
  }

  private _moveIfSilent({ server }: BackendCall): void {
    const { waited } = this._current;
    const silent = isSilent({
      waited,
      objective: this._request.route.objectiveMilliseconds,
      serverSilentFor: server.silentFor,
      stream: this._relay !== undefined,
      streamSilentFor: this._received.answer && this._relay?.begun ? this._relay.silentFor() : undefined,
    });
    if (!silent || this._takeRetry()) return;
    this._current.end('silent');
    this._mayHaveRun = true;
    server.health.noteOutcome('silent');
    this._trace.attemptFailed(server, { sent: true, reason: 'silent' }, waited);
    this._attempt();
  }

  /** The other server has sent an event: lets the first one go and follows the other. */
  private _onHandoverReady(call: BackendCall, startedAt: number): void {
    const { call: former, waited } = this._current;
    if (former) this._trace.attemptFailed(former.server, { sent: true, reason: 'switching' }, waited);
    this._current.end('not-needed');
    this._mayHaveRun = true;
    this._current.follow(call, startedAt);
  }

  private _onHandoverFailed(server: TrackedServer, failure: CallFailure, startedAt: number): void {
    const { rejectedWith } = failure;
    if (rejectedWith !== undefined && this._current.call) return this._noteRejected(server, rejectedWith);
    if (rejectedWith !== undefined) return this._onRejected(server, rejectedWith);
    if (!this._current.call) return this._afterFailure(server, failure);
    this._mayHaveRun ||= failure.sent;
    this._trace.attemptFailed(server, failure, this._services.clock.now() - startedAt);
  }

  private _giveUp(reason: NoAttempt): void {
    this._noAttempt = reason;
    if (this._waitsFor(reason)) return;
    this._final.giveUp(reason, {
      begun: this._relay?.begun === true,
      mayHaveRun: this._mayHaveRun,
      retryAfterMilliseconds: this._attempts.retryAfter(reason),
    });
  }

  private _onTimeOver(): void {
    const sent = this._mayHaveRun || this._handover.isUnderWay || this._current.call?.sent === true;
    this._current.end('time-over');
    this._final.timeOver(this._relay?.begun === true, sent);
  }

  private _onCallerGone(): void {
    if (this._final.given) return;
    this._current.end('caller-gone');
    this._final.callerGone();
  }

  private _onEnded(outcome: RequestOutcome, fields: EndFields): void {
    this._handover.cancel();
    this._turn.release();
    clearTimeout(this._deadlineTimer);
    this._endWatch();
    this._trace.ended(outcome, this._attempts.count, { ...fields, noAttempt: this._noAttempt }, this._relay);
    this._done();
  }
}
