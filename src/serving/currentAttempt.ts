/** The attempt under way of a request: its call, and how long it has waited. */
import type { Clock } from '../utils/clock.js';
import type { AbortReason, BackendCallListener, BackendRequest } from './backendCall.js';
import { BackendCall } from './backendCall.js';
import type { StreamRelay } from './streamRelay.js';
import type { TrackedServer } from './trackedServer.js';

export class CurrentAttempt {
  private readonly _clock: Clock;
  private readonly _relay: StreamRelay | undefined;
  private _call: BackendCall | undefined;
  private _startedAt = 0;

  /** `relay` passes the events on of a request that is a stream. */
  constructor(clock: Clock, relay: StreamRelay | undefined) {
    this._clock = clock;
    this._relay = relay;
  }

  /** Undefined while the request is at no server. */
  get call(): BackendCall | undefined {
    return this._call;
  }

  /** Milliseconds since the attempt began. */
  get elapsedMilliseconds(): number {
    return this._clock.now() - this._startedAt;
  }

  /** Sends the request; false when the server's connections are all in use. */
  send(server: TrackedServer, request: BackendRequest, listener: BackendCallListener): boolean {
    this._startedAt = this._clock.now();
    const call = BackendCall.send(server, request, listener);
    if (!call) return false;
    this._call = call;
    if (this._relay) server.streamBegan();
    return true;
  }

  /** Goes on with a call that began at `startedAt` beside the one before. */
  adopt(call: BackendCall, startedAt: number): void {
    this._call = call;
    this._startedAt = startedAt;
  }

  /** The call at `server` has ended; an event that it broke off is dropped. */
  clear(server: TrackedServer): void {
    if (!this._call) return;
    this._call = undefined;
    if (this._relay) server.streamEnded();
    this._relay?.dropPartialEvent();
  }

  /** Ends the attempt, if there is one. */
  abort(reason: AbortReason): void {
    const call = this._call;
    if (call) this.clear(call.server);
    call?.abort(reason);
  }
}
