/** Carries one admitted request to backend servers until it has an answer. */
import type { AnswerHeaders, BackendRequest, CallFailure } from './backendCall.js';
import { BackendCall } from './backendCall.js';
import { OWN_STATUS } from './callerExchange.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { PartialAnswer } from './answerJudgement.js';
import { MISDIRECTED, judgeAnswer, shouldMove, switchingPatience } from './answerJudgement.js';
import type { ForwardServices } from './forwardServices.js';
import type { RequestOutcome } from './requestTrace.js';
import { RequestTrace } from './requestTrace.js';
import { retryAfter } from './retryAdvice.js';
import type { ServerFound } from './serverPool.js';
import { StreamRelay } from './streamRelay.js';
import type { TrackedServer } from './trackedServer.js';

/** Least time that is worth another attempt. */
const SHORTEST_ATTEMPT_MILLISECONDS = 40;
/** Connections that cannot be opened cost no attempt, but there is an end to them. */
const MOST_UNREACHABLE = 4;
const WATCH_INTERVAL_MILLISECONDS = 100;
/** Largest answer of a request that is no stream, in bytes. */
const LARGEST_ANSWER = 16 * 1024 * 1024;

export class ForwardedRequest {
  private readonly _services: ForwardServices;
  private readonly _request: AdmittedRequest;
  private readonly _trace: RequestTrace;
  private readonly _relay: StreamRelay | undefined;
  private readonly _tried = new Set<string>();
  private readonly _switchingPatience: number;
  private readonly _done: () => void;
  private _call: BackendCall | undefined;
  private _answer: PartialAnswer | undefined;
  private _attempts = 0;
  private _unreachable = 0;
  /** Whether the request may have run somewhere. */
  private _mayHaveRun = false;
  private _ended = false;
  private _attemptStartedAt = 0;
  private _deadlineTimer: NodeJS.Timeout | undefined;
  private _watchTimer: NodeJS.Timeout | undefined;

  /** `done` is called once, when the request has ended. */
  constructor(services: ForwardServices, request: AdmittedRequest, done: () => void) {
    this._services = services;
    this._request = request;
    this._done = done;
    this._switchingPatience = switchingPatience(services.random.fraction());
    this._trace = new RequestTrace(request, services.log, services.metrics, services.clock);
    if (request.route.kind === 'stream')
      this._relay = new StreamRelay(request.exchange, request.lastEventId, services.clock);
  }

  start(): void {
    const { exchange, endsAt } = this._request;
    if (exchange.ended) return this._onCallerGone();
    exchange.onCallerGone(() => this._onCallerGone());
    this._deadlineTimer = setTimeout(
      () => this._onTimeOver(),
      Math.max(0, endsAt - this._services.clock.now()),
    );
    if (this._repeatable) this._watchTimer = setInterval(() => this._watch(), WATCH_INTERVAL_MILLISECONDS);
    this._attempt();
  }

  private get _repeatable(): boolean {
    const { kind, resumable } = this._request.route;
    return kind === 'repeatable' || (kind === 'stream' && resumable);
  }

  private get _left(): number {
    return this._request.endsAt - this._services.clock.now();
  }

  /** Sends the request to the best server there is. */
  private _attempt(): void {
    if (this._ended) return;
    const found = this._find();
    if (found.kind === 'none') return this._giveUp(found.reason);
    const { server } = found;
    const listener = {
      onHead: (status: number, headers: AnswerHeaders) => this._onHead(server, status, headers),
      onData: (bytes: Buffer) => this._onData(bytes),
      onEnd: () => this._onEnd(server),
      onFailed: (failure: CallFailure) => this._onFailed(server, failure),
    };
    this._attemptStartedAt = this._services.clock.now();
    this._answer = undefined;
    const call = BackendCall.send(server, this._requestFor(server), listener);
    if (!call) return this._giveUp('all-busy');
    this._attempts++;
    this._tried.add(server.record.id);
    this._call = call;
    if (this._relay) server.streamBegan();
    this._trace.sent(server, this._attempts);
  }

  private _find(): ServerFound {
    const { service, model, route } = this._request;
    const { gate, pool } = this._services;
    return pool.find({
      service,
      model,
      lowestVersion: gate.lowest(model),
      lowestVersionSlow: gate.lowest(model, true),
      preferredVersion: gate.preferred(model),
      objectiveMilliseconds: route.objectiveMilliseconds,
      tried: this._tried,
    });
  }

  private _requestFor(server: TrackedServer): BackendRequest {
    const { names, gate } = this._services;
    const { method, path, headers, body, model } = this._request;
    const own = [names.deadline, String(Math.max(1, Math.floor(this._left)))];
    own.push(names.expectedServer, server.record.id);
    const lastEventId = this._relay?.lastEventId ?? '';
    if (lastEventId !== '') own.push(names.lastEventId, lastEventId);
    if (model !== '' && gate.newest(model) > server.version(model)) {
      own.push(names.expectedVersion, String(server.version(model)));
    }
    return { method, path, headers: [...headers, ...own], body };
  }

  private _onHead(server: TrackedServer, status: number, headers: AnswerHeaders): void {
    const { names } = this._services;
    const { exchange, model } = this._request;
    if (headers[names.requestId] !== exchange.requestId) return this._onForeignAnswer(server);
    server.health.noteFirstAnswer(this._services.clock.now() - this._attemptStartedAt);
    const version = Number(headers[names.version]);
    if (model !== '' && version > 0) server.noteVersion(model, version);
    this._answer = { status, headers, body: [], length: 0 };
    const isStream = this._relay !== undefined && status === 200 && headers[names.seal] !== undefined;
    if (isStream) this._relay?.begin(status, headers);
  }

  private _onData(bytes: Buffer): void {
    const answer = this._answer;
    if (!answer) return;
    if (this._relay?.begun && answer.status === 200) return this._relayEvents(bytes);
    answer.body.push(bytes);
    answer.length += bytes.length;
    if (answer.length > LARGEST_ANSWER) this._onForeignAnswer(this._call!.server);
  }

  private _relayEvents(bytes: Buffer): void {
    const call = this._call;
    if (this._relay!.push(bytes)) return;
    call?.pause();
    this._request.exchange.onceDrained(() => call?.resume());
  }

  /** The answer is for another request: nothing of this connection can be trusted. */
  private _onForeignAnswer(server: TrackedServer): void {
    this._leave('foreign-answer');
    this._afterFailure(server, { sent: true, reason: 'foreign-answer' });
  }

  private _onEnd(server: TrackedServer): void {
    const answer = this._answer!;
    this._forgetCall(server);
    if (this._relay?.begun && answer.status === 200) {
      server.health.note('succeeded');
      this._relay.end();
      return this._end('answered', { status: 200, server: server.record.id });
    }
    this._judge(server, answer);
  }

  /** Acts on what a whole answer means. */
  private _judge(server: TrackedServer, answer: PartialAnswer): void {
    const { status, headers } = answer;
    const verdict = judgeAnswer(status, headers, this._services.names);
    if (verdict === 'not-run') return this._onRejected(server, status);
    this._mayHaveRun = true;
    server.health.note(verdict === 'failed' || verdict === 'unclear' ? 'failed' : 'succeeded');
    const again = verdict !== 'answered' && this._repeatable;
    if (again && this._mayTryAgain()) return this._attempt();
    if (verdict === 'unclear') return this._refuse(OWN_STATUS.unclear, `status ${status} from server`);
    if (this._relay?.begun) return this._cut('stream could not be resumed');
    this._request.exchange.answer(status, headers, Buffer.concat(answer.body));
    this._end('answered', { status, server: server.record.id });
  }

  /** The server says that the request has not run. */
  private _onRejected(server: TrackedServer, status: number): void {
    server.health.note(status === MISDIRECTED ? 'displaced' : 'rejected');
    this._trace.rejected(server, status);
    if (this._mayTryAgain()) return this._attempt();
    this._giveUp('all-busy');
  }

  private _onFailed(server: TrackedServer, failure: CallFailure): void {
    this._forgetCall(server);
    this._afterFailure(server, failure);
  }

  private _afterFailure(server: TrackedServer, failure: CallFailure): void {
    this._trace.attemptFailed(server, failure, this._services.clock.now() - this._attemptStartedAt);
    if (!failure.sent) return this._afterUnreachable(server);
    this._mayHaveRun = true;
    if (failure.reason === 'silent') server.health.note('silent');
    else server.health.note('failed');
    if (this._repeatable && this._mayTryAgain()) return this._attempt();
    if (this._relay?.begun) return this._cut(failure.reason);
    this._refuse(OWN_STATUS.unclear, failure.reason);
  }

  /** Nothing reached the server, so that the attempt does not count. */
  private _afterUnreachable(server: TrackedServer): void {
    server.health.noteUnreachable();
    this._attempts--;
    this._unreachable++;
    const may = this._unreachable < MOST_UNREACHABLE && this._left > SHORTEST_ATTEMPT_MILLISECONDS;
    if (may) this._attempt();
    else this._giveUp('no-server');
  }

  private _mayTryAgain(): boolean {
    const { route, retries } = this._request;
    if (this._attempts >= route.attempts || this._left < SHORTEST_ATTEMPT_MILLISECONDS) return false;
    if (this._find().kind === 'none') return false;
    const allowed = retries.takeRetry();
    if (allowed) this._trace.retried();
    return allowed;
  }

  /** Looks whether the server is silent for too long. */
  private _watch(): void {
    const call = this._call;
    if (!call) return;
    const waited = this._services.clock.now() - this._attemptStartedAt;
    const { server } = call;
    const { switchingFor } = server;
    const moves = shouldMove({
      waited,
      objective: this._request.route.objectiveMilliseconds,
      serverSilentFor: server.silentFor,
      serverSwitchingFor: switchingFor,
      switchingPatience: this._switchingPatience,
      stream: this._relay !== undefined,
      streamSilentFor: this._answer && this._relay?.begun ? this._relay.silentFor() : undefined,
    });
    if (!moves || !this._mayTryAgain()) return;
    this._leave('silent');
    this._mayHaveRun = true;
    if (switchingFor === 0) server.health.note('silent');
    const reason = switchingFor === 0 ? 'silent' : 'switching';
    this._trace.attemptFailed(server, { sent: true, reason }, waited);
    this._attempt();
  }

  private _giveUp(reason: string): void {
    if (this._relay?.begun) return this._cut(reason);
    if (this._mayHaveRun) return this._refuse(OWN_STATUS.unclear, reason);
    this._refuse(OWN_STATUS.notRun, reason, retryAfter(this._left, this._services.random.fraction()));
  }

  private _onTimeOver(): void {
    const sent = this._mayHaveRun || this._call?.sent === true;
    this._leave('time-over');
    if (this._relay?.begun) return this._cut('time over');
    if (sent) return this._refuse(OWN_STATUS.timeOver, 'time over');
    this._refuse(OWN_STATUS.notRun, 'time over before the request was sent', 0);
  }

  private _onCallerGone(): void {
    if (this._ended) return;
    this._leave('caller-gone');
    this._end('caller-gone', {});
  }

  /** Ends the attempt under way, if there is one. */
  private _leave(reason: 'caller-gone' | 'time-over' | 'silent' | 'foreign-answer'): void {
    const call = this._call;
    if (!call) return;
    this._forgetCall(call.server);
    call.abort(reason);
  }

  private _forgetCall(server: TrackedServer): void {
    if (!this._call) return;
    this._call = undefined;
    if (this._relay) {
      server.streamEnded();
      this._relay.forgetPartial();
    }
  }

  private _refuse(status: number, reason: string, retryAfterMilliseconds?: number): void {
    this._request.exchange.refuse(status, reason, retryAfterMilliseconds);
    this._end(status === OWN_STATUS.notRun ? 'refused' : 'failed', { status, reason });
  }

  private _cut(reason: string): void {
    this._request.exchange.cut();
    this._end('cut', { reason });
  }

  private _end(outcome: RequestOutcome, fields: Record<string, string | number | boolean>): void {
    if (this._ended) return;
    this._ended = true;
    clearTimeout(this._deadlineTimer);
    clearInterval(this._watchTimer);
    this._trace.ended(outcome, this._attempts, fields, this._relay);
    this._done();
  }
}
