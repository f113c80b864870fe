/** Tracks the servers that a request has been sent to, and decides whether and where to send it next. */
import type { AdmittedRequest } from './admittedRequest.js';
import type { BackendRequest } from './backendCall.js';
import type { ForwardingContext } from './forwardingContext.js';
import type { NoAttemptReason } from './noAttemptReason.js';
import { noAttemptReasonOf } from './noAttemptReason.js';
import { outgoingRequest } from './outgoingRequest.js';
import type { ServerSelection } from './serverPool.js';
import { isRepeatable } from './servingConfiguration.js';
import { SlotRequest } from './slotRequest.js';
import { HANDOVER_TIMEOUT_MILLISECONDS } from './streamHandover.js';
import type { TrackedServer } from './trackedServer.js';

/** An attempt is not worth starting with less time than this left. */
const MIN_ATTEMPT_MILLISECONDS = 40;
/** Limit on servers that could not be reached, since these do not count as attempts. */
const MAX_UNREACHABLE = 4;
/** A server that has not run a begun stream is tried again after this time; `ServerHealth` avoids it until then. */
const SAME_SERVER_RETRY_MILLISECONDS = 150;
/**
 * Minimum interval between sends of a begun stream beyond the attempts of its route. Servers get free slots every few
 * milliseconds, but each send uses a retry that other requests could have had.
 */
const MIN_RESEND_INTERVAL_MILLISECONDS = 100;

export class RequestAttempts {
  /** The request's claim to a slot. */
  readonly slot: SlotRequest;
  private readonly _context: ForwardingContext;
  private readonly _request: AdmittedRequest;
  private readonly _hasBegun: () => boolean;
  private readonly _tried = new Set<string>();
  /** By id of servers that have not run the request: when they last said so, or could not be reached. */
  private readonly _notRunAt = new Map<string, number>();
  private _lastNotRunAt = Number.NEGATIVE_INFINITY;
  private _count = 0;
  /** Number of sends after which the server said that it has not run the request. */
  private _notRunCount = 0;
  private _unreachableCount = 0;
  /** Milliseconds until a server is expected to take the request, as of the last search. */
  private _waitMilliseconds = 0;

  /** `hasBegun` tells whether a part of the answer has been sent to the caller. */
  constructor(context: ForwardingContext, request: AdmittedRequest, hasBegun: () => boolean = () => false) {
    this._hasBegun = hasBegun;
    this._context = context;
    this._request = request;
    this.slot = new SlotRequest(context, request);
  }

  /** Number of sends, without those that did not reach a server. */
  get count(): number {
    return this._count;
  }

  /** Whether the request may run more than once. */
  get repeatable(): boolean {
    return isRepeatable(this._request.route);
  }

  /**
   * Whether a server may have run the request. Its caller cannot be told to retry, so that it is not subject to the
   * limits on slots any more.
   */
  private get _mayHaveRun(): boolean {
    return this._hasBegun() || this._count > this._notRunCount;
  }

  /** Milliseconds until the request's deadline. */
  get remainingMilliseconds(): number {
    return this._request.endsAt - this._context.clock.now();
  }

  /**
   * Finds the best server that has not been tried. `isHandover` tells that the request is still running on another
   * server. Once its answer has begun, a request is no longer subject to the latency objective, and may be sent again
   * to a server that has not run it.
   */
  find(isHandover = false): ServerSelection {
    const { service, model, permittedRegions } = this._request;
    const { gate, pool } = this._context;
    const preferredVersion = gate.preferredMinVersion(model);
    // A stream handed over to an older version shortly before the version deadline would have to move again, and
    // might begin too late.
    const lowestForHandover = isHandover ? preferredVersion : 0;
    const found = pool.find({
      service,
      permittedRegions,
      model,
      minVersion: Math.max(gate.minVersionToSend(model), lowestForHandover),
      minVersionIfSlow: Math.max(gate.minVersionToSend(model, true), lowestForHandover),
      preferredVersion,
      newestVersion: gate.newest(model),
      objectiveMilliseconds: this._objectiveMilliseconds(isHandover),
      isContinuation: isHandover || this._hasBegun(),
      slotLimits: isHandover || this._mayHaveRun ? undefined : this.slot.limits,
      tried: this._hasBegun() && !isHandover ? this._excludedServers() : this._tried,
    });
    this._waitMilliseconds = 'waitMilliseconds' in found ? found.waitMilliseconds : 0;
    return found;
  }

  /** Returns the request to send to `server`, which asks for the events after `lastEventId`. */
  outgoing(server: TrackedServer, lastEventId: string): BackendRequest {
    const { remainingMilliseconds } = this;
    return outgoingRequest(this._request, this._context.names, {
      server,
      remainingMilliseconds,
      lastEventId,
    });
  }

  /** Whether the request might begin on an older version only after the version deadline. */
  mayBeginTooLate(server: TrackedServer): boolean {
    const { model } = this._request;
    const mayBeDelayed = server.slowLink || server.agentSilent;
    return model !== '' && server.version(model) < this._context.gate.minVersionToBegin(model, mayBeDelayed);
  }

  /** Counts an attempt at `server`. */
  noteSent(server: TrackedServer): void {
    this._count++;
    this.slot.noteSent();
    this._tried.add(server.record.id);
    this._notRunAt.delete(server.record.id);
  }

  /**
   * Records that the server has not run the request. The attempts of a stream that has begun limit how often it
   * runs, so this send does not count when the stream is resumed later, and the same server may be tried again. For
   * a request that has not begun, attempts limit the number of sends.
   */
  noteNotRun(server: TrackedServer): void {
    this._notRunCount++;
    this._noteNotRunAt(server);
  }

  /** Records that an attempt did not reach its server. Returns a reason when no other server should be tried. */
  noteUnreachable(server: TrackedServer): NoAttemptReason | undefined {
    this._noteNotRunAt(server);
    this._count--;
    this._unreachableCount++;
    if (this._unreachableCount >= MAX_UNREACHABLE) return 'no server';
    return this.remainingMilliseconds <= MIN_ATTEMPT_MILLISECONDS ? 'time' : undefined;
  }

  /**
   * Takes permission for another attempt, which depends on the route's attempts, the time left, an available server
   * and the retry budget. Returns the reason when it is denied.
   */
  takeRetry(isHandover = false): NoAttemptReason | undefined {
    const { route, retries } = this._request;
    // A stream that is being handed over still runs on its first server, so that the limit for new requests suffices.
    const isResumption = this._hasBegun() && !isHandover;
    const used = isResumption ? this._count - this._notRunCount : this._count;
    if (used >= route.attempts) return 'attempts used';
    if (this.remainingMilliseconds < MIN_ATTEMPT_MILLISECONDS) return 'time';
    if (isResumption && this._isTooSoon()) return 'asked just now';
    const noServer = noAttemptReasonOf(this.find(isHandover));
    if (noServer) return noServer;
    return retries.takeRetry(this._hasBegun()) ? undefined : 'retry budget';
  }

  /**
   * Milliseconds after which the caller should retry a request that was refused for `reason`. `shutOutMilliseconds` is
   * how long it remains shut out.
   */
  retryAfter(reason: NoAttemptReason, shutOutMilliseconds = 0): number {
    if (reason === 'ends servers') return shutOutMilliseconds;
    const time = { leftMilliseconds: this.remainingMilliseconds, waitMilliseconds: this._waitMilliseconds };
    return this.slot.retryDelay(reason, time);
  }

  private _noteNotRunAt(server: TrackedServer): void {
    this._lastNotRunAt = this._context.clock.now();
    this._notRunAt.set(server.record.id, this._lastNotRunAt);
  }

  /** Returns the servers that may have run the request, and those that were tried too recently to try them again. */
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

  /** Time within which a server should send its first answer. */
  private _objectiveMilliseconds(isHandover: boolean): number {
    if (!this._hasBegun()) return this._request.route.objectiveMilliseconds;
    return isHandover ? HANDOVER_TIMEOUT_MILLISECONDS : Number.POSITIVE_INFINITY;
  }
}
