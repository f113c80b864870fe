/** The state of a request towards the suspicion of one of its identities. */
import type { RunDecision } from './runDecision.js';
import type { RequestIdentity } from './requestIdentity.js';
import { trialId } from './suspicion.js';
import type { SuspicionTracker } from './suspicionTracker.js';

/**
 * A trial may outlast the deadline of its request by this much, because its end is reported after that of the
 * request.
 */
const TRIAL_MARGIN_MILLISECONDS = 500;

export class IdentityGate {
  readonly identity: RequestIdentity;
  private readonly _tracker: SuspicionTracker;
  private readonly _trialRequest: string;
  private readonly _own: ReadonlySet<string>;
  /** Number of trials that the request has claimed. */
  private _trialsClaimed = 0;
  private _hasTrial = false;
  /** Whether the tracker holds a trial of the request, or an exit that it writes when the request is over. */
  private _hasState = false;

  /** `own` are the fingerprints of all identities of the request. */
  constructor(
    tracker: SuspicionTracker,
    identity: RequestIdentity,
    trialRequest: string,
    own: ReadonlySet<string>,
  ) {
    this._tracker = tracker;
    this.identity = identity;
    this._trialRequest = trialRequest;
    this._own = own;
  }

  /** Id of the trial that the request claimed last, unique among all requests. */
  get trialId(): string {
    return trialId(this._trialRequest, this._trialsClaimed);
  }

  get decision(): RunDecision {
    return this._tracker.runDecision(this.identity, this.trialId, this._own);
  }

  /** Milliseconds until an identity that is shut out may have another trial. */
  get shutOutMilliseconds(): number {
    return this._tracker.shutOutMilliseconds(this.identity);
  }

  /** Records, when the request is sent, whether that is a trial. */
  noteSent(): void {
    this._hasTrial = this.decision === 'run-as-trial';
  }

  /** Claims the trial if that is possible now, else waits for a change, in both cases for a limited time. */
  async proceed(leftMilliseconds: number): Promise<void> {
    const { fingerprint } = this.identity;
    if (this.decision !== 'claim-trial')
      return await this._tracker.waitForChange(fingerprint, leftMilliseconds);
    if (this._hasState) this._tracker.endTrial(fingerprint, this.trialId);
    this._hasState = true;
    this._trialsClaimed++;
    await this._tracker.claim(fingerprint, this.trialId, leftMilliseconds + TRIAL_MARGIN_MILLISECONDS);
  }

  /** Records that a server process exited while it had the request. */
  async recordServerExit(server: string): Promise<void> {
    this._hasState ||= this.identity.kind === 'request';
    const trial = this._hasTrial ? this.trialId : '';
    await this._tracker.recordServerExit(this.identity, { server, trial });
  }

  /** Records that the request succeeded after it had run for `milliseconds`. */
  recordSuccess(milliseconds: number): void {
    this._tracker.recordSuccess(this.identity, milliseconds);
  }

  /** Ends the request's trial. */
  release(): void {
    if (this._hasState) this._tracker.release(this.identity.fingerprint, this.trialId);
  }
}
