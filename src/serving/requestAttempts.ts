/** Where a request has been sent, and whether and where it may be sent next. */
import type { AdmittedRequest } from './admittedRequest.js';
import type { BackendRequest } from './backendCall.js';
import type { ForwardServices } from './forwardServices.js';
import type { NoAttempt } from './noAttempt.js';
import { noAttemptOf } from './noAttempt.js';
import { outgoingRequest } from './outgoingRequest.js';
import type { ServerFound } from './serverPool.js';
import type { TrackedServer } from './trackedServer.js';

/** Least time that is worth another attempt. */
const SHORTEST_ATTEMPT_MILLISECONDS = 40;
/** Connections that cannot be opened cost no attempt, but there is an end to them. */
const MOST_UNREACHABLE = 4;

export class RequestAttempts {
  private readonly _services: ForwardServices;
  private readonly _request: AdmittedRequest;
  private readonly _tried = new Set<string>();
  private _count = 0;
  private _unreachable = 0;

  constructor(services: ForwardServices, request: AdmittedRequest) {
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

  /** The best server that has not been tried; `isHandover` while the request runs on another one. */
  find(isHandover = false): ServerFound {
    const { service, model, route } = this._request;
    const { gate, pool } = this._services;
    const preferredVersion = gate.preferred(model);
    // what is handed over late to a server of an older version would have to move again, and may begin there too late
    const lowestForHandover = isHandover ? preferredVersion : 0;
    return pool.find({
      service,
      model,
      lowestVersion: Math.max(gate.lowest(model), lowestForHandover),
      lowestVersionSlow: Math.max(gate.lowest(model, true), lowestForHandover),
      preferredVersion,
      newestVersion: gate.newest(model),
      objectiveMilliseconds: route.objectiveMilliseconds,
      isHandover,
      tried: this._tried,
    });
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
    return model !== '' && server.version(model) < this._services.gate.lowestToBegin(model);
  }

  /** Counts an attempt. */
  noteSent(server: TrackedServer): void {
    this._count++;
    this._tried.add(server.record.id);
  }

  /** Nothing reached the server, so that the attempt does not count; returns why not to go on to another one. */
  noteUnreachable(): NoAttempt | undefined {
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
    if (this._count >= route.attempts) return 'attempts used';
    if (this.leftMilliseconds < SHORTEST_ATTEMPT_MILLISECONDS) return 'time';
    const noServer = noAttemptOf(this.find(isHandover));
    if (noServer) return noServer;
    return retries.takeRetry() ? undefined : 'retry budget';
  }
}
