/** The current attempt of a request: its call and its start time. */
import { isStalled } from './answerClassification.js';
import type { Clock } from '../utils/clock.js';
import type { AbortReason, BackendCallListener, BackendRequest } from './backendCall.js';
import { BackendCall } from './backendCall.js';
import type { Route } from './servingConfiguration.js';
import type { StreamRelay } from './streamRelay.js';
import type { TrackedServer } from './trackedServer.js';

export class CurrentAttempt {
  private readonly _clock: Clock;
  private readonly _relay: StreamRelay | undefined;
  private _call: BackendCall | undefined;
  private _startedAt = 0;

  /** `relay` forwards the events when the request is a stream. */
  constructor(clock: Clock, relay: StreamRelay | undefined) {
    this._clock = clock;
    this._relay = relay;
  }

  /** The call of the current attempt; undefined when there is none. */
  get call(): BackendCall | undefined {
    return this._call;
  }

  /** Milliseconds since the attempt began. */
  get elapsedMilliseconds(): number {
    return this._clock.now() - this._startedAt;
  }

  /** Sends the request. Returns false when all connections to the server are in use. */
  send(server: TrackedServer, request: BackendRequest, listener: BackendCallListener): boolean {
    this._startedAt = this._clock.now();
    const call = BackendCall.send(server, request, listener);
    if (!call) return false;
    this._call = call;
    if (this._relay) server.streamBegan();
    return true;
  }

  /** Makes a call that a handover began at `startedAt` the current attempt. */
  adopt(call: BackendCall, startedAt: number): void {
    this._call = call;
    this._startedAt = startedAt;
  }

  /**
   * Whether the attempt should be abandoned in favour of another server. `hasHead` tells whether the head of its answer
   * has arrived.
   */
  isStalled({ objectiveMilliseconds }: Route, hasHead: boolean): boolean {
    return isStalled({
      waited: this.elapsedMilliseconds,
      objective: objectiveMilliseconds,
      serverSilentFor: this._call?.server.silentFor ?? 0,
      stream: this._relay !== undefined,
      streamSilentFor: hasHead && this._relay?.begun ? this._relay.silentFor() : undefined,
    });
  }

  /** Clears the attempt after its call to `server` has ended, and drops an event that was received only in part. */
  clear(server: TrackedServer): void {
    if (!this._call) return;
    this._call = undefined;
    if (this._relay) server.streamEnded();
    this._relay?.dropPartialEvent();
  }

  /** Aborts the attempt, if there is one. */
  abort(reason: AbortReason): void {
    const call = this._call;
    if (call) this.clear(call.server);
    call?.abort(reason);
  }
}
