/** Where a request has been sent, and whether and where it may be sent next. */
import type { AdmittedRequest } from './admittedRequest.js';
import type { BackendRequest } from './backendCall.js';
import type { ForwardingContext } from './forwardingContext.js';
import type { NoAttemptReason } from './noAttemptReason.js';
import { noAttemptReasonOf } from './noAttemptReason.js';
import { outgoingRequest } from './outgoingRequest.js';
import { computeRetryAfter } from './retryAfter.js';
import type { ServerFound } from './serverPool.js';
import { HANDOVER_TIMEOUT_MILLISECONDS } from './streamHandover.js';
import type { TrackedServer } from './trackedServer.js';

/** Least time that is worth another attempt. */
const MIN_ATTEMPT_MILLISECONDS = 40;
/** Connections that cannot be opened cost no attempt, but there is an end to them. */
const MAX_UNREACHABLE = 4;
/** Time after which a server that has not run a begun stream is asked again: until then choices avoid it (serverHealth). */
const SAME_SERVER_RETRY_MILLISECONDS = 150;
/**
 * Least time between the sends of a begun stream beyond those that its route allows at once: places come free every few
 * milliseconds, but each send takes a retry from all others.
 */
const MIN_RESEND_INTERVAL_MILLISECONDS = 100;

export class RequestAttempts {
  private readonly _context: ForwardingContext;
  private readonly _request: AdmittedRequest;
  private readonly _hasBegun: () => boolean;
  private readonly _tried = new Set<string>();
  /** When servers were last tried that have not run the request. */
  private readonly _notRunAt = new Map<string, number>();
  private _lastNotRunAt = Number.NEGATIVE_INFINITY;
  private _count = 0;
  /** Those of the sends that a server says it has not run. */
  private _notRunCount = 0;
  private _unreachableCount = 0;
  /** For how long no server took the request when one was last sought. */
  private _waitMilliseconds = 0;

  /** `hasBegun` tells whether the caller has a part of the answer. */
  constructor(context: ForwardingContext, request: AdmittedRequest, hasBegun: () => boolean = () => false) {
    this._hasBegun = hasBegun;
    this._context = context;
    this._request = request;
  }

  /** Servers that the request has been sent to. */
  get count(): number {
    return this._count;
  }

  /** Whether the request may run more than once. */
  get repeatable(): boolean {
    const { kind, resumable } = this._request.route;
    return kind === 'repeatable' || (kind === 'stream' && resumable);
  }

  /** Milliseconds until the caller or the operator no longer waits. */
  get remainingMilliseconds(): number {
    return this._request.endsAt - this._context.clock.now();
  }

  /**
   * The best server that has not been tried; `isHandover` while the request runs on another one. An answer that has begun is
   * asked for no first answer in time any more, and may be sent again to a server that has not run it.
   */
  find(isHandover = false): ServerFound {
    const { service, model } = this._request;
    const { gate, pool } = this._context;
    const preferredVersion = gate.preferred(model);
    // what is handed over late to a server of an older version would have to move again, and may begin there too late
    const lowestForHandover = isHandover ? preferredVersion : 0;
    const found = pool.find({
      service,
      model,
      lowestVersion: Math.max(gate.lowest(model), lowestForHandover),
      lowestVersionSlow: Math.max(gate.lowest(model, true), lowestForHandover),
      preferredVersion,
      newestVersion: gate.newest(model),
      objectiveMilliseconds: this._objectiveMilliseconds(isHandover),
      isCarriedOver: isHandover || this._hasBegun(),
      tried: this._hasBegun() && !isHandover ? this._excludedServers() : this._tried,
    });
    this._waitMilliseconds = 'waitMilliseconds' in found ? found.waitMilliseconds : 0;
    return found;
  }

  /** The request as `server` gets it, from the event after `lastEventId` on. */
  outgoing(server: TrackedServer, lastEventId: string): BackendRequest {
    const { names, gate } = this._context;
    return outgoingRequest(this._request, names, {
      server,
      remainingMilliseconds: this.remainingMilliseconds,
      lastEventId,
      newestVersion: gate.newest(this._request.model),
    });
  }

  /** Whether the bound is so near that the request should no longer begin on the version of `server`. */
  mayBeginTooLate(server: TrackedServer): boolean {
    const { model } = this._request;
    const mayBeDelayed = server.slowLink || server.agentSilent;
    return model !== '' && server.version(model) < this._context.gate.lowestToBegin(model, mayBeDelayed);
  }

  /** Counts an attempt. */
  noteSent(server: TrackedServer): void {
    this._count++;
    this._tried.add(server.record.id);
    this._notRunAt.delete(server.record.id);
  }

  /**
   * The server says that it has not run the request. Attempts bound the runs of a stream that has begun: it loses none by
   * this when it is broken off, and may ask the server again. A new request is sent to no more servers than its route allows.
   */
  noteNotRun(server: TrackedServer): void {
    this._notRunCount++;
    this._noteNotRunAt(server);
  }

  /** Nothing reached the server, so that the attempt does not count; returns why not to go on to another one. */
  noteUnreachable(server: TrackedServer): NoAttemptReason | undefined {
    this._noteNotRunAt(server);
    this._count--;
    this._unreachableCount++;
    if (this._unreachableCount >= MAX_UNREACHABLE) return 'no server';
    return this.remainingMilliseconds <= MIN_ATTEMPT_MILLISECONDS ? 'time' : undefined;
  }

  /**
   * Takes permission for one more attempt: the route, the time left, a server and the retry budget must allow it. Returns
   * what does not.
   */
  takeRetry(isHandover = false): NoAttemptReason | undefined {
    const { route, retries } = this._request;
    // a stream that is handed over still has its first server, and needs no more sends than a new request
    const isResumption = this._hasBegun() && !isHandover;
    const used = isResumption ? this._count - this._notRunCount : this._count;
    if (used >= route.attempts) return 'attempts used';
    if (this.remainingMilliseconds < MIN_ATTEMPT_MILLISECONDS) return 'time';
    if (isResumption && this._isTooSoon()) return 'asked just now';
    const noServer = noAttemptReasonOf(this.find(isHandover));
    if (noServer) return noServer;
    return retries.takeRetry(this._hasBegun()) ? undefined : 'retry budget';
  }

  /** Milliseconds after which its caller should come back, where there is no attempt for `reason`. */
  retryAfter(reason: NoAttemptReason): number {
    const fraction = this._context.random.fraction();
    return computeRetryAfter(reason, this.remainingMilliseconds, fraction, this._waitMilliseconds);
  }

  private _noteNotRunAt(server: TrackedServer): void {
    this._lastNotRunAt = this._context.clock.now();
    this._notRunAt.set(server.record.id, this._lastNotRunAt);
  }

  /** Servers that may have run the request, and those that have not but were asked only just now. */
  private _excludedServers(): Set<string> {
    const now = this._context.clock.now();
    const mayRetry = (id: string): boolean =>
      now - (this._notRunAt.get(id) ?? now) >= SAME_SERVER_RETRY_MILLISECONDS;
    return new Set([...this._tried].filter((id) => !mayRetry(id)));
  }

  private _isTooSoon(): boolean {
    const isBeyond = this._count >= this._request.route.attempts || this._unreachableCount >= MAX_UNREACHABLE;
    return isBeyond && this._context.clock.now() - this._lastNotRunAt < MIN_RESEND_INTERVAL_MILLISECONDS;
  }

  /** Time that a server may take for its first answer. */
  private _objectiveMilliseconds(isHandover: boolean): number {
    if (!this._hasBegun()) return this._request.route.objectiveMilliseconds;
    return isHandover ? HANDOVER_TIMEOUT_MILLISECONDS : Number.POSITIVE_INFINITY;
  }
}
