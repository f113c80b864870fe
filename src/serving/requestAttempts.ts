/** Where a request has been sent, and whether and where it may be sent next. */
import type { AdmittedRequest } from './admittedRequest.js';
import type { BackendRequest } from './backendCall.js';
import type { ForwardServices } from './forwardServices.js';
import type { NoAttempt } from './noAttempt.js';
import { noAttemptOf } from './noAttempt.js';
import { outgoingRequest } from './outgoingRequest.js';
import { retryAfter } from './retryAdvice.js';
import type { ServerSelection } from './serverPool.js';
import { LONGEST_HANDOVER_MILLISECONDS } from './streamHandover.js';
import type { TrackedServer } from './trackedServer.js';

/** Least time that is worth another attempt. */
const SHORTEST_ATTEMPT_MILLISECONDS = 40;
/** Connections that cannot be opened cost no attempt, but there is an end to them. */
const MOST_UNREACHABLE = 4;
/** Time after which a server that has not run a begun stream is asked again: until then choices avoid it (serverHealth). */
const ASK_AGAIN_MILLISECONDS = 150;
/**
 * Least time between the sends of a begun stream beyond those that its route allows at once: places come free every few
 * milliseconds, but each send takes a retry from all others.
 */
const RESEND_MILLISECONDS = 100;

export class RequestAttempts {
  private readonly _services: ForwardServices;
  private readonly _request: AdmittedRequest;
  private readonly _hasBegun: () => boolean;
  private readonly _tried = new Set<string>();
  /** When servers were last tried that have not run the request. */
  private readonly _notRunAt = new Map<string, number>();
  private _lastNotRunAt = Number.NEGATIVE_INFINITY;
  private _count = 0;
  /** Those of the sends that a server says it has not run. */
  private _notRun = 0;
  private _unreachable = 0;
  /** For how long no server took the request when one was last sought. */
  private _waitMilliseconds = 0;

  /** `hasBegun` tells whether the caller has a part of the answer. */
  constructor(services: ForwardServices, request: AdmittedRequest, hasBegun: () => boolean = () => false) {
    this._hasBegun = hasBegun;
    this._services = services;
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
  get leftMilliseconds(): number {
    return this._request.endsAt - this._services.clock.now();
  }

  /**
   * The best server that has not been tried; `isHandover` while the request runs on another one. An answer that has begun is
   * asked for no first answer in time any more, and may be sent again to a server that has not run it.
   */
  find(isHandover = false): ServerSelection {
    const { service, model } = this._request;
    const { gate, pool } = this._services;
    const preferredVersion = gate.preferredMinVersion(model);
    // what is handed over late to a server of an older version would have to move again, and may begin there too late
    const lowestForHandover = isHandover ? preferredVersion : 0;
    const found = pool.find({
      service,
      model,
      minVersion: Math.max(gate.minVersionToSend(model), lowestForHandover),
      minVersionIfSlow: Math.max(gate.minVersionToSend(model, true), lowestForHandover),
      preferredVersion,
      newestVersion: gate.newest(model),
      objectiveMilliseconds: this._objectiveMilliseconds(isHandover),
      isContinuation: isHandover || this._hasBegun(),
      tried: this._hasBegun() && !isHandover ? this._triedLately() : this._tried,
    });
    this._waitMilliseconds = 'waitMilliseconds' in found ? found.waitMilliseconds : 0;
    return found;
  }

  /** The request as `server` gets it, from the event after `lastEventId` on. */
  outgoing(server: TrackedServer, lastEventId: string): BackendRequest {
    const { names, gate } = this._services;
    return outgoingRequest(this._request, names, {
      server,
      leftMilliseconds: this.leftMilliseconds,
      lastEventId,
      newestVersion: gate.newest(this._request.model),
    });
  }

  /** Whether the bound is so near that the request should no longer begin on the version of `server`. */
  mayBeginTooLate(server: TrackedServer): boolean {
    const { model } = this._request;
    const mayLie = server.slowLink || server.agentSilent;
    return model !== '' && server.version(model) < this._services.gate.minVersionToBegin(model, mayLie);
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
    this._notRun++;
    this._noteNotRunAt(server);
  }

  /** Nothing reached the server, so that the attempt does not count; returns why not to go on to another one. */
  noteUnreachable(server: TrackedServer): NoAttempt | undefined {
    this._noteNotRunAt(server);
    this._count--;
    this._unreachable++;
    if (this._unreachable >= MOST_UNREACHABLE) return 'no server';
    return this.leftMilliseconds <= SHORTEST_ATTEMPT_MILLISECONDS ? 'time' : undefined;
  }

  /**
   * Takes permission for one more attempt: the route, the time left, a server and the retry budget must allow it. Returns
   * what does not.
   */
  takeRetry(isHandover = false): NoAttempt | undefined {
    const { route, retries } = this._request;
    // a stream that is handed over still has its first server, and needs no more sends than a new request
    const isBrokenOff = this._hasBegun() && !isHandover;
    const used = isBrokenOff ? this._count - this._notRun : this._count;
    if (used >= route.attempts) return 'attempts used';
    if (this.leftMilliseconds < SHORTEST_ATTEMPT_MILLISECONDS) return 'time';
    if (isBrokenOff && this._isTooSoon()) return 'asked just now';
    const noServer = noAttemptOf(this.find(isHandover));
    if (noServer) return noServer;
    return retries.takeRetry(this._hasBegun()) ? undefined : 'retry budget';
  }

  /** Milliseconds after which its caller should come back, where there is no attempt for `reason`. */
  retryAfter(reason: NoAttempt): number {
    const fraction = this._services.random.fraction();
    return retryAfter(reason, this.leftMilliseconds, fraction, this._waitMilliseconds);
  }

  private _noteNotRunAt(server: TrackedServer): void {
    this._lastNotRunAt = this._services.clock.now();
    this._notRunAt.set(server.record.id, this._lastNotRunAt);
  }

  /** Servers that may have run the request, and those that have not but were asked only just now. */
  private _triedLately(): Set<string> {
    const now = this._services.clock.now();
    const isLate = (id: string): boolean => now - (this._notRunAt.get(id) ?? now) >= ASK_AGAIN_MILLISECONDS;
    return new Set([...this._tried].filter((id) => !isLate(id)));
  }

  private _isTooSoon(): boolean {
    const isBeyond = this._count >= this._request.route.attempts || this._unreachable >= MOST_UNREACHABLE;
    return isBeyond && this._services.clock.now() - this._lastNotRunAt < RESEND_MILLISECONDS;
  }

  /** Time that a server may take for its first answer. */
  private _objectiveMilliseconds(isHandover: boolean): number {
    if (!this._hasBegun()) return this._request.route.objectiveMilliseconds;
    return isHandover ? LONGEST_HANDOVER_MILLISECONDS : Number.POSITIVE_INFINITY;
  }
}
