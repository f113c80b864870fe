/** Forwards an admitted request to backend servers until it has an answer. */
import type { AnswerHeaders, BackendCall, BackendCallListener, CallFailure } from './backendCall.js';
import { SuspicionGate } from '../crashes/suspicionGate.js';
import { SharedInterval } from '../utils/sharedInterval.js';
import { MISDIRECTED_REQUEST, recordAnswerHead } from './answerHead.js';
import { AnswerEnd } from './answerEnd.js';
import { AnswerReceiver } from './answerReceiver.js';
import { OWN_STATUS } from './callerExchange.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { PartialAnswer } from './answerClassification.js';
import { isSuccessfulRun } from './answerClassification.js';
import { CurrentAttempt } from './currentAttempt.js';
import { FinalAnswer } from './finalAnswer.js';
import type { ForwardingContext } from './forwardingContext.js';
import type { NoAttemptReason } from './noAttemptReason.js';
import { noAttemptReasonOf } from './noAttemptReason.js';
import { RequestAttempts } from './requestAttempts.js';
import { RequestDrain } from './requestDrain.js';
import { RequestEnding } from './requestEnding.js';
import { RequestHandover } from './requestHandover.js';
import type { EndFields, RequestOutcome } from './requestTrace.js';
import { RequestTrace } from './requestTrace.js';
import { StreamRelay } from './streamRelay.js';
import { StreamWait } from './streamWait.js';
import type { TrackedServer } from './trackedServer.js';

/** Interval at which a request checks its server, or looks for one; a fraction of the shortest attempt timeout. */
const WATCH_INTERVAL_MILLISECONDS = 50;
const watchInterval = new SharedInterval(WATCH_INTERVAL_MILLISECONDS);

export class ForwardedRequest {
  /** Ends the request before a server has answered it. */
  readonly ending: RequestEnding;
  private readonly _context: ForwardingContext;
  private readonly _request: AdmittedRequest;
  private readonly _trace: RequestTrace;
  private readonly _relay: StreamRelay | undefined;
  private readonly _receiver: AnswerReceiver;
  private readonly _answerEnd: AnswerEnd;
  private readonly _wait: StreamWait;
  private readonly _current: CurrentAttempt;
  private readonly _attempts: RequestAttempts;
  private readonly _suspicionGate: SuspicionGate;
  private readonly _handover: RequestHandover;
  private readonly _drain: RequestDrain;
  private readonly _final: FinalAnswer;
  private _stopWatching: () => void = () => undefined;

  constructor(context: ForwardingContext, request: AdmittedRequest) {
    this._context = context;
    this._request = request;
    this._final = new FinalAnswer(request.exchange, (outcome, fields) => this._onEnded(outcome, fields));
    this._attempts = new RequestAttempts(context, request, () => this._relay?.begun === true);
    this._suspicionGate = new SuspicionGate(context.suspicions, request, context.clock);
    this._trace = new RequestTrace(request, context.log, context.metrics, context.clock);
    this._handover = new RequestHandover(context, request, this._attempts, this._trace, {
      callListener: (server) => this._listenerFor(server),
      onSent: (server) => this._noteAttempt(server),
      onReady: (call, startedAt) => this._onHandoverReady(call, startedAt),
      onFailed: (server, failure, startedAt) => this._onHandoverFailed(server, failure, startedAt),
    });
    this._drain = new RequestDrain(context.drain, request);
    if (request.route.kind === 'stream')
      this._relay = new StreamRelay(request.exchange, request.lastEventId, context.clock);
    if (!request.exchange.takesChunks) this._relay?.hold();
    this._receiver = new AnswerReceiver(request.exchange, this._relay, context.clock);
    this._wait = new StreamWait(this._relay, this._attempts, this._trace);
    this._current = new CurrentAttempt(context.clock, this._relay);
    this._answerEnd = new AnswerEnd(this._receiver, this._current, context, request.exchange);
    const { _final: final, _current: current, _handover: handover, _attempts: attempts } = this;
    const { _suspicionGate: suspicionGate, _drain: drain } = this;
    this.ending = new RequestEnding({ final, current, handover, attempts, suspicionGate, drain });
  }

  start(): void {
    if (!this.ending.start(this._request)) return;
    // Of the non-repeatable requests only streams are watched: the head of a stream shows whether it has begun.
    if (this._attempts.repeatable || this._relay) this._stopWatching = watchInterval.add(() => this._watch());
    this._attempt();
  }

  /** Whether a planned stop permits to send the request to a server now. */
  private get _canSend(): boolean {
    return this._drain.canSend(this._relay?.begun === true);
  }

  /** Sends the request to the best available server. An error ends it with an answer, so that its caller can go on. */
  private _attempt(): void {
    if (this._final.ended) return;
    try {
      this._sendToServer();
    } catch (error) {
      this._trace.error(error);
      this._current.abort('not-needed');
      this._giveUp('internal error');
    }
  }

  private _sendToServer(): void {
    if (!this._suspicionGate.isOpen) return void this._awaitPermission();
    if (!this._drain.begin(this._relay?.begun === true)) return this._giveUp('leaving');
    if (this._drain.isHeld) this._relay?.hold();
    const found = this._attempts.find();
    if (found.kind === 'none') {
      const reason = noAttemptReasonOf(found)!;
      const giveUp = (): void => this._giveUp(reason);
      return this._attempts.slot.waitOrGiveUp(reason, () => this._attempt(), giveUp);
    }
    const { server } = found;
    this._receiver.reset();
    const outgoing = this._attempts.outgoing(server, this._relay?.lastEventId ?? '');
    if (this._current.send(server, outgoing, this._listenerFor(server))) this._noteAttempt(server);
    else this._giveUp('all busy');
  }

  /** Waits for permission to run: copies of a request suspected of crashing servers run one at a time, if at all. */
  private async _awaitPermission(): Promise<void> {
    if (this._suspicionGate.isWaiting) return;
    const outcome = await this._suspicionGate.wait();
    if (outcome === 'granted') this._attempt();
    else if (!this._final.ended) this._giveUp(outcome);
  }

  private _noteAttempt(server: TrackedServer): void {
    this.ending.noAttempt = undefined;
    this._attempts.noteSent(server);
    this._suspicionGate.onSent();
    this._trace.sent(server, this._attempts.count);
  }

  private _listenerFor(server: TrackedServer): BackendCallListener {
    return this._answerEnd.follow(server, {
      onHead: (status, headers) => this._onHead(server, status, headers),
      onData: (bytes) => this._onData(bytes),
      onEnd: () => this._onEnd(server),
      onFailed: (failure) => this._afterFailure(server, failure),
    });
  }

  private _onHead(server: TrackedServer, status: number, headers: AnswerHeaders): void {
    const { names } = this._context;
    if (headers[names.requestId] !== this._request.exchange.requestId) return this._onForeignAnswer(server);
    server.health.noteFirstByte(this._current.elapsedMilliseconds);
    recordAnswerHead(server, status, headers, names, this._request.model);
    this._receiver.onHead(status, headers, headers[names.seal] !== undefined);
  }

  private _onData(bytes: Buffer): void {
    if (!this._receiver.onData(bytes, this._current.call))
      return this._onForeignAnswer(this._current.call!.server, 'answer too large');
    if (this._receiver.isForwarding) this._suspicionGate.onAnswering(this._receiver.answeringFor);
  }

  /** Handles an answer to another request, or one that is too large: the connection can no longer be used. */
  private _onForeignAnswer(server: TrackedServer, reason = 'foreign-answer'): void {
    this._current.abort('foreign-answer');
    this._afterFailure(server, { sent: true, reason });
  }

  private _onEnd(server: TrackedServer): void {
    this.ending.mayHaveRun ||= this._receiver.classify(this._context.names) !== 'not-run';
    this._answerEnd.judge(server, {
      isOver: () => this._final.ended,
      onWhole: () => this._onWholeAnswer(server),
      onBrokenOff: (failure) => this._afterFailure(server, failure),
    });
  }

  private _onWholeAnswer(server: TrackedServer): void {
    const answer = this._receiver.answer!;
    if (!this._receiver.isForwarding) return this._onCompleteAnswer(server, answer);
    server.health.noteOutcome('succeeded');
    this._suspicionGate.recordSuccess(this._receiver.endsWithConnection);
    this._relay!.release();
    this._final.endStream(server, answer.status);
  }

  /** Forwards a complete answer to the caller, or retries on another server, depending on what the answer means. */
  private _onCompleteAnswer(server: TrackedServer, answer: PartialAnswer): void {
    const { status, headers } = answer;
    const kind = this._receiver.classify(this._context.names);
    if (kind === 'not-run') return this._onRejected(server, status);
    server.health.noteOutcome(kind === 'failed' || kind === 'unclear' ? 'failed' : 'succeeded');
    if (isSuccessfulRun(kind, status)) this._suspicionGate.recordSuccess(this._receiver.endsWithConnection);
    if (kind !== 'answered' && this._attempts.repeatable && this._continueElsewhere()) return;
    if (kind === 'unclear') return this._final.refuse(OWN_STATUS.unknown, `status ${status} from server`);
    if (this._relay?.begun) return this._final.fail('stream could not be resumed');
    this._final.forward(server, status, headers, answer.body.take());
  }

  /** Handles an answer by which the server says that the request has not run. */
  private _onRejected(server: TrackedServer, status: number): void {
    this._noteRejected(server, status);
    if (!this._continueElsewhere()) this._giveUp(this.ending.noAttempt!);
  }

  private _noteRejected(server: TrackedServer, status: number): void {
    server.health.noteOutcome(status === MISDIRECTED_REQUEST ? 'displaced' : 'rejected');
    this._attempts.noteNotRun(server);
    this._trace.rejected(server, status);
  }

  private _afterFailure(server: TrackedServer, failure: CallFailure): void {
    this._current.clear(server);
    this._trace.attemptFailed(server, failure, this._current.elapsedMilliseconds, this._receiver.progress);
    if (!failure.sent && !this._handover.inProgress) return this._afterUnreachable(server);
    this.ending.mayHaveRun = true;
    server.health.noteOutcome(failure.reason === 'silent' ? 'silent' : 'failed');
    if (failure.brokeOff) void this._afterDisconnect(server, failure);
    else this._continueAfter(failure);
  }

  /** Handles a lost connection. A crash of the server is recorded before the request is sent anywhere else. */
  private async _afterDisconnect(server: TrackedServer, failure: CallFailure): Promise<void> {
    if (await this._suspicionGate.onConnectionBroken(server.record, this._receiver.answeringFor))
      server.health.noteUnreachable();
    const hasContinued = this._current.call !== undefined || this._handover.inProgress;
    if (!hasContinued && !this._final.ended) this._continueAfter(failure);
  }

  private _continueAfter(failure: CallFailure): void {
    if (this._attempts.repeatable && this._continueElsewhere()) return;
    this._final.fail(failure.reason);
  }

  /** Handles an attempt of which nothing reached the server; such an attempt is not counted. */
  private _afterUnreachable(server: TrackedServer): void {
    server.health.noteUnreachable();
    const refused = this._attempts.noteUnreachable(server);
    if (refused) this._giveUp(refused);
    else this._attempt();
  }

  /** Continues with the handover in progress, a new attempt or a wait. Returns false if none of these is possible. */
  private _continueElsewhere(): boolean {
    if (this._handover.inProgress || this._final.ended) return true;
    this.ending.noAttempt = this._canSend ? this._takeRetry() : 'leaving';
    if (this.ending.noAttempt) return this._wait.begin(this.ending.noAttempt);
    this._attempt();
    return true;
  }

  private _tryAgain(): void {
    this._wait.end();
    if (!this._continueElsewhere()) this._giveUp(this.ending.noAttempt!);
  }

  /** Requests permission for another attempt. Returns the reason when it is denied. */
  private _takeRetry(): NoAttemptReason | undefined {
    const refused = this._attempts.takeRetry();
    if (!refused) this._trace.retried();
    return refused;
  }

  /** Checks whether the server has stalled, is switching versions, or may begin the request too late. */
  private _watch(): void {
    if (this._wait.isWaiting) return this._tryAgain();
    const { call } = this._current;
    if (!call) return;
    if (!this._receiver.answer && this._attempts.mayBeginTooLate(call.server))
      return this._cancelAttempt(call);
    if (this._handover.inProgress || !this._attempts.repeatable) return;
    const { switchingFor } = call.server;
    if (switchingFor === 0) this._retryIfStalled(call);
    else if (this._relay && this._handover.isDue(switchingFor) && this._canSend)
      this._handover.begin(call.server, this._relay.lastEventId);
  }

  /** Cancels the attempt, since no request may begin on an older version after the version deadline. */
  private _cancelAttempt({ server, sent }: BackendCall): void {
    this._trace.cancelled(server);
    this._current.abort('not-needed');
    this._afterFailure(server, { sent, reason: 'not begun before the bound of its version' });
  }

  private _retryIfStalled({ server }: BackendCall): void {
    const { elapsedMilliseconds: elapsed } = this._current;
    const stalled = this._current.isStalled(this._request.route, this._receiver.answer !== undefined);
    if (!stalled || !this._canSend || this._takeRetry()) return;
    this._current.abort('silent');
    this.ending.mayHaveRun = true;
    server.health.noteOutcome('silent');
    this._trace.attemptFailed(server, { sent: true, reason: 'silent' }, elapsed);
    this._attempt();
  }

  /** Completes a handover: the other server has sent an event, so the call to the first server is aborted. */
  private _onHandoverReady(call: BackendCall, startedAt: number): void {
    const { call: previous, elapsedMilliseconds: elapsed } = this._current;
    if (previous) this._trace.attemptFailed(previous.server, { sent: true, reason: 'switching' }, elapsed);
    this._current.abort('not-needed');
    this.ending.mayHaveRun = true;
    this._current.adopt(call, startedAt);
  }

  private _onHandoverFailed(server: TrackedServer, failure: CallFailure, startedAt: number): void {
    const { rejectedWith } = failure;
    if (rejectedWith !== undefined && this._current.call) return this._noteRejected(server, rejectedWith);
    if (rejectedWith !== undefined) return this._onRejected(server, rejectedWith);
    if (!this._current.call) return this._afterFailure(server, failure);
    this.ending.mayHaveRun ||= failure.sent;
    this._trace.attemptFailed(server, failure, this._context.clock.now() - startedAt);
  }

  private _giveUp(reason: NoAttemptReason): void {
    this.ending.noAttempt = reason;
    if (!this._wait.begin(reason)) this.ending.giveUp(reason);
  }

  private _onEnded(outcome: RequestOutcome, fields: EndFields): void {
    this._handover.cancel();
    this._suspicionGate.release();
    this.ending.stop();
    this._stopWatching();
    const slot = this._attempts.slot.ended(outcome, this.ending.noAttempt);
    const own = { noAttempt: this.ending.noAttempt, ...slot, ...this._drain.onEnded() };
    const all = { ...fields, ...this._answerEnd.fields, ...own };
    this._trace.ended(outcome, this._attempts.count, all, this._relay);
  }
}
