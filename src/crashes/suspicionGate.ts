/** When one request may run: at once, unless the same request is suspected of ending its servers. */
import type { Clock } from '../utils/clock.js';
import type { ServerProcess } from './serverExitChecker.js';
import type { RunDecision } from './runDecision.js';
import type { SuspicionTracker } from './suspicionTracker.js';

/** What a turn is about. */
export interface GatedRequest {
  fingerprint: () => string;
  /** Names this very request. */
  exchange: { readonly requestId: string };
  /** Monotonic milliseconds at which nobody waits any more. */
  endsAt: number;
}

/** How the wait for a turn ended: `ends servers` for a request that is shut out, `time` where nobody waits any more. */
export type GateOutcome = 'granted' | 'ends servers' | 'time';

/** Ids are the callers' own, of any length. */
const MAX_ID_LENGTH = 64;
/** A trial may last a little longer than its request, whose end is told after it. */
const TRIAL_MARGIN_MILLISECONDS = 500;

/** Callers may use an id twice, or none. */
let gatesCreated = 0;

export class SuspicionGate {
  private readonly _suspicions: SuspicionTracker;
  private readonly _request: GatedRequest;
  private readonly _clock: Clock;
  private readonly _name: string;
  /** Trials that the request has asked for. */
  private _trialsClaimed = 0;
  private _isWaiting = false;
  private _hasTrial = false;
  /** Whether the request has left anything with the suspicions. */
  private _hasState = false;
  private _isReleased = false;

  constructor(suspicions: SuspicionTracker, request: GatedRequest, clock: Clock) {
    this._suspicions = suspicions;
    this._request = request;
    this._clock = clock;
    this._name = `${request.exchange.requestId.slice(0, MAX_ID_LENGTH)}/${gatesCreated++}`;
  }

  /** Names the trial that the request has asked for last, among those of all requests. */
  get id(): string {
    return `${this._name}.${this._trialsClaimed}`;
  }

  /** Whether the request may run now, without waiting. */
  get isOpen(): boolean {
    if (this._suspicions.isEmpty) return true;
    const decision = this._runDecision();
    return decision === 'free' || decision === 'mine';
  }

  /** Whether somebody waits for {@link SuspicionGate.wait}. */
  get isWaiting(): boolean {
    return this._isWaiting;
  }

  /** Waits until the request may run, if it ever may. */
  async wait(): Promise<GateOutcome> {
    this._isWaiting = true;
    const outcome = await this._waitUntilDecided();
    this._isWaiting = false;
    return outcome;
  }

  /** A server broke off the connection that had the request; resolves to whether it has ended, which is noted. */
  async onConnectionBroken(server: ServerProcess): Promise<boolean> {
    const hadTrial = this._hasTrial;
    if (!(await this._suspicions.hasExited(server))) return false;
    const trial = hadTrial ? this.id : '';
    const life = server.startedAt > 0 ? `${server.id}@${server.startedAt}` : server.id;
    this._hasState = true;
    // the caller may come again as soon as it is answered, to an entry that has to know by then
    await this._suspicions.noteServerExit(this._request.fingerprint(), { server: life, trial });
    if (this._isReleased) this.release();
    return true;
  }

  /** The request has run to a good end. */
  noteSuccess(): void {
    this._suspicions.noteSuccess(this._request.fingerprint());
  }

  /** The request is over: the same may be tried by others. */
  release(): void {
    this._isReleased = true;
    if (this._hasState) this._suspicions.release(this._request.fingerprint(), this.id);
  }

  private async _waitUntilDecided(): Promise<GateOutcome> {
    const { endsAt, fingerprint } = this._request;
    const left = (): number => endsAt - this._clock.now();
    while (!this._isReleased && left() > 0) {
      const standing = this._runDecision();
      this._hasTrial = standing === 'mine';
      if (standing === 'shut-out') return 'ends servers';
      if (standing === 'free' || standing === 'mine') return 'granted';
      if (standing === 'open') await this._claimTrial(left());
      else await this._suspicions.changed(fingerprint(), left());
    }
    return 'time';
  }

  private async _claimTrial(leftMilliseconds: number): Promise<void> {
    const fingerprint = this._request.fingerprint();
    if (this._hasState) this._suspicions.endTrial(fingerprint, this.id);
    this._hasState = true;
    this._trialsClaimed++;
    await this._suspicions.claim(fingerprint, this.id, leftMilliseconds + TRIAL_MARGIN_MILLISECONDS);
  }

  private _runDecision(): RunDecision {
    return this._suspicions.runDecision(this._request.fingerprint(), this.id);
  }
}
