/** A request's claim to a slot of a server: passes it to admission control, and keeps what explains a rejection. */
import type { AdmissionPolicy, FleetLoad, Precedence, SlotLimits } from '../admission/admissionPolicy.js';
import type { RetryTime } from '../admission/retryDelay.js';
import type { Clock } from '../utils/clock.js';
import type { ServingMetrics } from '../telemetry/servingMetrics.js';
import type { WaitingRequests } from '../admission/waitingRequests.js';
import { SlotWait } from './slotWait.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { ForwardingContext } from './forwardingContext.js';
import type { NoAttemptReason } from './noAttemptReason.js';
import type { EndFields, RequestOutcome } from './requestTrace.js';

/** Reasons for which a request did not get a slot, as opposed to there being no server for it. */
const SLOT_REASONS: ReadonlySet<NoAttemptReason> = new Set(['all busy', 'reserved']);
/** Retry delay while this entry stops: another entry can take the request immediately. */
export const RETRY_AFTER_LEAVING_MILLISECONDS = 10;
const PRESSURE_DIGITS = 2;

export class SlotRequest {
  private readonly _admission: AdmissionPolicy;
  private readonly _clock: Clock;
  private readonly _metrics: ServingMetrics;
  private readonly _request: AdmittedRequest;
  private readonly _waiting: WaitingRequests;
  private readonly _wait: SlotWait;
  private _hasGotSlot = false;
  private _precedence: Precedence | undefined;
  private _pressure = 0;

  constructor({ admission, pool, clock, metrics }: ForwardingContext, request: AdmittedRequest) {
    this._admission = admission;
    this._clock = clock;
    this._metrics = metrics;
    this._waiting = pool.waiting;
    this._wait = new SlotWait(pool.waiting);
    this._request = request;
  }

  /** Returns which slots the request may use. */
  readonly limits = (load: FleetLoad): SlotLimits => {
    const now = this._clock.now();
    this._precedence = this._admission.precedence(this._request.profile, now);
    this._pressure = load.pressure;
    return this._admission.slotLimits(this._request.profile, load, now);
  };

  /**
   * Makes the request wait for a slot if one is expected in time. `tryAgain` looks for one, and calls this method again if
   * there is still none; `giveUp` is called at the end of the wait, or immediately if the request must not wait.
   */
  waitOrGiveUp(reason: NoAttemptReason, tryAgain: () => void, giveUp: () => void): void {
    const mayWait = !this._hasGotSlot && SLOT_REASONS.has(reason);
    if (mayWait && this._wait.isWaiting) return;
    const { profile } = this._request;
    const { rank, firstAttemptAt, objectiveMilliseconds } = profile;
    const objectiveEndsAt = firstAttemptAt + objectiveMilliseconds;
    const milliseconds = this._admission.maxWait(profile, this._clock.now());
    const waits = mayWait && this._wait.begin({ rank, objectiveEndsAt, tryAgain, giveUp }, milliseconds);
    if (waits) this._metrics.count(`requests_waited_total{service="${this._request.service}"}`);
    else giveUp();
  }

  noteSent(): void {
    this._wait.end();
    if (!this._hasGotSlot) this._note('sent');
    this._hasGotSlot = true;
  }

  /** Records that the request is rejected; returns the milliseconds after which its caller should retry. */
  retryDelay(reason: NoAttemptReason, time: RetryTime): number {
    if (this._waiting.isClosed) return RETRY_AFTER_LEAVING_MILLISECONDS;
    const lacksSlot = SLOT_REASONS.has(reason);
    if (!this._hasGotSlot && lacksSlot) this._note('rejected');
    return this._admission.retryDelay(
      { ...time, profile: this._request.profile, lacksSlot },
      this._clock.now(),
    );
  }

  /**
   * Ends the request's wait, counts the request by its last precedence, and has others look for the slot that it had.
   * Returns additional fields for the log line of a rejection.
   */
  ended(outcome: RequestOutcome, reason: NoAttemptReason | undefined): EndFields {
    this._wait.end();
    if (this._hasGotSlot) this._waiting.wake();
    if (!this._precedence) return {};
    const { service } = this._request;
    const { timeliness, rank } = this._precedence;
    this._metrics.count(`requests_by_timeliness_total{service="${service}",timeliness="${timeliness}"}`);
    if (outcome !== 'refused') return {};
    const labels = `service="${service}",rank="${rank}",timeliness="${timeliness}",reason="${reason ?? 'other'}"`;
    this._metrics.count(`requests_rejected_total{${labels}}`);
    return { timeliness, rank, pressure: Number(this._pressure.toFixed(PRESSURE_DIGITS)) };
  }

  private _note(outcome: 'sent' | 'rejected'): void {
    this._admission.noteOutcome(this._request.profile, outcome, this._clock.now());
  }
}
