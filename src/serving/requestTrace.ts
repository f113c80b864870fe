/** Writes the log lines and counts the metrics of one request. */
import { regionsText } from '../locality/permittedRegions.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { AnswerProgress } from './answerReceiver.js';
import type { CallFailure } from './backendCall.js';
import type { NoAttemptReason } from './noAttemptReason.js';
import type { ServingMetrics } from '../telemetry/servingMetrics.js';
import type { StreamRelay } from './streamRelay.js';
import type { TrackedServer } from './trackedServer.js';

/** How a request ended. */
export type RequestOutcome = 'answered' | 'refused' | 'failed' | 'cut' | 'caller-gone';

/** Additional log fields for the end of a request. */
export type EndFields = Record<string, string | number | boolean | undefined>;

export class RequestTrace {
  private readonly _request: AdmittedRequest;
  private readonly _log: EventLog;
  private readonly _metrics: ServingMetrics;
  private readonly _clock: Clock;
  private readonly _startedAt: number;
  private _hasLoggedNotHandedOver = false;
  private _waitReason: NoAttemptReason | undefined;

  constructor(request: AdmittedRequest, log: EventLog, metrics: ServingMetrics, clock: Clock) {
    this._request = request;
    this._log = log;
    this._metrics = metrics;
    this._clock = clock;
    this._startedAt = clock.now();
  }

  sent(server: TrackedServer, attempt: number): void {
    this._waitReason = undefined;
    const now = this._clock.now();
    const { statusAge } = server;
    if (statusAge !== undefined) this._metrics.recordLoadAge(server.record.service, statusAge);
    this._log.decision('request.sent', {
      request: this._id,
      server: server.record.id,
      attempt,
      load: Math.round(server.load.estimate(now)),
      loadAge: statusAge === undefined ? undefined : Math.round(statusAge),
      version: server.version(this._request.model),
      leftMilliseconds: Math.round(this._request.endsAt - now),
    });
  }

  rejected(server: TrackedServer, status: number): void {
    this._metrics.countRejection(server.record.service);
    this._log.decision('request.rejected', { request: this._id, server: server.record.id, status });
  }

  /** `progress` tells how far the answer was, if that is known. */
  attemptFailed(
    server: TrackedServer,
    failure: CallFailure,
    elapsed: number,
    progress?: AnswerProgress,
  ): void {
    const milliseconds = Math.round(elapsed);
    const { answeringFor, endsWithConnection } = progress ?? {};
    this._log.decision('request.attempt-failed', {
      request: this._id,
      server: server.record.id,
      fingerprint: failure.sent ? this._request.fingerprint() : undefined,
      promptParts: this._request.promptParts.join(',') || undefined,
      ...failure,
      milliseconds,
      answerStatus: progress?.status,
      answeringMilliseconds: answeringFor === undefined ? undefined : Math.round(answeringFor),
      endsWithConnection: endsWithConnection || undefined,
    });
  }

  /** Logs that the attempt was cancelled: the request has not begun, and may no longer begin on this version. */
  cancelled(server: TrackedServer): void {
    this._log.decision('request.taken-back', {
      request: this._id,
      server: server.record.id,
      version: server.version(this._request.model),
      slowLink: server.slowLink,
      agentSilent: server.agentSilent,
    });
  }

  /** Logs, once, that a stream stays at a server that is switching versions. */
  notHandedOver(server: TrackedServer, reason: string): void {
    if (this._hasLoggedNotHandedOver) return;
    this._hasLoggedNotHandedOver = true;
    this._metrics.count(`handovers_refused_total{reason="${reason}"}`);
    this._log.decision('request.not-handed-over', { request: this._id, server: server.record.id, reason });
  }

  /** Logs that a begun stream waits to be resumed on another server. Repeats of the same reason are skipped. */
  waiting(reason: NoAttemptReason): void {
    if (this._waitReason === reason) return;
    this._waitReason = reason;
    this._metrics.count(`streams_waiting_total{reason="${reason}"}`);
    const leftMilliseconds = Math.round(this._request.endsAt - this._clock.now());
    this._log.decision('request.waiting', { request: this._id, noAttempt: reason, leftMilliseconds });
  }

  /** Logs an error of this process. */
  error(error: unknown): void {
    this._log.state('request.error', { request: this._id, reason: errorText(error) });
  }

  retried(): void {
    this._metrics.countRetry(this._request.service);
  }

  ended(outcome: RequestOutcome, attempts: number, fields: EndFields, stream: StreamRelay | undefined): void {
    const milliseconds = Math.round(this._clock.now() - this._startedAt);
    this._metrics.recordRequest(this._request.service, outcome, milliseconds);
    const isNotPermitted = fields['noAttempt'] === ('no permitted server' satisfies NoAttemptReason);
    if (isNotPermitted && outcome === 'refused') this._metrics.countNotPermitted(this._request.service);
    const { name: route, objectiveMilliseconds } = this._request.route;
    const firstBytesAt = stream?.firstBytesAt ?? 0;
    this._log.decision(`request.${outcome}`, {
      request: this._id,
      route,
      attempts,
      milliseconds,
      objectiveMilliseconds,
      firstMilliseconds: firstBytesAt > 0 ? Math.round(firstBytesAt - this._startedAt) : undefined,
      pauseMilliseconds: stream ? Math.round(stream.longestPause) : undefined,
      silentMilliseconds: stream?.begun ? Math.round(stream.silentFor()) : undefined,
      homeRegions: isNotPermitted ? regionsText(this._request.permittedRegions) : undefined,
      ...fields,
    });
  }

  private get _id(): string {
    return this._request.exchange.requestId;
  }
}
