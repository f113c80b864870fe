/**
 * Decides when a request may run: at once, unless the same request is suspected of crashing the servers that run it.
 */
import type { Clock } from '../utils/clock.js';
import type { ServerProcess } from './serverExitChecker.js';
import type { RunDecision } from './runDecision.js';
import type { SuspicionTracker } from './suspicionTracker.js';

/** The request that a gate controls. */
export interface GatedRequest {
  fingerprint: () => string;
  /** Provides the caller's id of the request. */
  exchange: { readonly requestId: string };
  /** Deadline of the request in monotonic milliseconds. */
  endsAt: number;
}

/** How a wait ended. `ends servers`: the request is shut out. `time`: its deadline has passed, or it was released. */
export type GateOutcome = 'granted' | 'ends servers' | 'time';

/** Request ids are chosen by callers and may have any length. */
const MAX_ID_LENGTH = 64;
/**
 * A trial may outlast the deadline of its request by this much, because its end is reported after that of the
 * request.
 */
const TRIAL_MARGIN_MILLISECONDS = 500;

/** Makes the ids of trials unique: callers may use a request id twice, or send none. */
let gatesCreated = 0;

export class SuspicionGate {
  private readonly _tracker: SuspicionTracker;
  private readonly _request: GatedRequest;
  private readonly _clock: Clock;
  private readonly _trialIdPrefix: string;
  /** Number of trials that the request has claimed. */
  private _trialsClaimed = 0;
  private _isWaiting = false;
  private _hasTrial = false;
  /** Whether the tracker holds a server exit or a trial of the request. */
  private _hasState = false;
  private _isReleased = false;

  constructor(tracker: SuspicionTracker, request: GatedRequest, clock: Clock) {
    this._tracker = tracker;
    this._request = request;
    this._clock = clock;
    this._trialIdPrefix = `${request.exchange.requestId.slice(0, MAX_ID_LENGTH)}/${gatesCreated++}`;
  }

  /** Id of the trial that the request claimed last, unique among all requests. */
  get id(): string {
    return `${this._trialIdPrefix}.${this._trialsClaimed}`;
  }

  /** Whether the request may run now, without waiting. */
  get isOpen(): boolean {
    if (this._tracker.isEmpty) return true;
    const decision = this._runDecision();
    return decision === 'run' || decision === 'run-as-trial';
  }

  /** Whether a call of {@link SuspicionGate.wait} is pending. */
  get isWaiting(): boolean {
    return this._isWaiting;
  }

  /** Waits until the request may run, is shut out, or is over. */
  async wait(): Promise<GateOutcome> {
    this._isWaiting = true;
    const outcome = await this._waitUntilDecided();
    this._isWaiting = false;
    return outcome;
  }

  /**
   * Handles a server that broke off the connection while it had the request. Resolves to whether its process has
   * exited, which then counts against the request.
   */
  async onConnectionBroken(server: ServerProcess): Promise<boolean> {
    const hadTrial = this._hasTrial;
    if (!(await this._tracker.hasExited(server))) return false;
    const trial = hadTrial ? this.id : '';
    const serverProcess = server.startedAt > 0 ? `${server.id}@${server.startedAt}` : server.id;
    this._hasState = true;
    // Once it has its answer, the caller may retry at another entry, which has to know of the exit by then.
    await this._tracker.recordServerExit(this._request.fingerprint(), { server: serverProcess, trial });
    if (this._isReleased) this.release();
    return true;
  }

  /** Records that the request completed successfully. */
  recordSuccess(): void {
    this._tracker.recordSuccess(this._request.fingerprint());
  }

  /** Ends the request, so that the same request of another caller may get a trial. */
  release(): void {
    this._isReleased = true;
    if (this._hasState) this._tracker.release(this._request.fingerprint(), this.id);
  }

  private async _waitUntilDecided(): Promise<GateOutcome> {
    const { endsAt, fingerprint } = this._request;
    const left = (): number => endsAt - this._clock.now();
    while (!this._isReleased && left() > 0) {
      const decision = this._runDecision();
      this._hasTrial = decision === 'run-as-trial';
      if (decision === 'shut-out') return 'ends servers';
      if (decision === 'run' || decision === 'run-as-trial') return 'granted';
      if (decision === 'claim-trial') await this._claimTrial(left());
      else await this._tracker.waitForChange(fingerprint(), left());
    }
    return 'time';
  }

  private async _claimTrial(leftMilliseconds: number): Promise<void> {
    const fingerprint = this._request.fingerprint();
    if (this._hasState) this._tracker.endTrial(fingerprint, this.id);
    this._hasState = true;
    this._trialsClaimed++;
    await this._tracker.claim(fingerprint, this.id, leftMilliseconds + TRIAL_MARGIN_MILLISECONDS);
  }

  private _runDecision(): RunDecision {
    return this._tracker.runDecision(this._request.fingerprint(), this.id);
  }
}
