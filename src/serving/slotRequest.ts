/** A request's claim to a slot of a server: passes it to admission control, and keeps what explains a rejection. */
import type { AdmissionPolicy, FleetLoad } from '../admission/admissionPolicy.js';
import type { Clock } from '../utils/clock.js';
import type { AdmittedRequest } from './admittedRequest.js';
import type { NoAttemptReason } from './noAttemptReason.js';
import type { EndFields, RequestOutcome } from './requestTrace.js';
import type { ServerSelection } from './serverPool.js';

/** Reasons for which a request did not get a slot, as opposed to there being no server for it. */
const SLOT_REASONS: ReadonlySet<NoAttemptReason | undefined> = new Set(['all busy', 'reserved']);
const PRESSURE_DIGITS = 2;

export class SlotRequest {
  private readonly _admission: AdmissionPolicy;
  private readonly _clock: Clock;
  private readonly _request: AdmittedRequest;
  private _hasGotSlot = false;
  private _pressure: number | undefined;

  constructor({ admission, clock }: { admission: AdmissionPolicy; clock: Clock }, request: AdmittedRequest) {
    this._admission = admission;
    this._clock = clock;
    this._request = request;
  }

  /** Share of each server's slots that the request has to leave to others. */
  readonly reservedShare = (load: FleetLoad): number =>
    this._admission.reservedShare(this._request.profile, load, this._clock.now());

  noteSearch(found: ServerSelection): void {
    this._pressure = 'pressure' in found ? found.pressure : undefined;
  }

  noteSent(): void {
    if (!this._hasGotSlot) this._note('sent');
    this._hasGotSlot = true;
  }

  /** Records the end of the request; returns the fields that the log line of a rejection has in addition. */
  ended(outcome: RequestOutcome, reason: NoAttemptReason | undefined): EndFields {
    if (outcome !== 'refused') return {};
    if (!this._hasGotSlot && SLOT_REASONS.has(reason)) this._note('rejected');
    const { timeliness, rank } = this._admission.precedence(this._request.profile, this._clock.now());
    const pressure =
      this._pressure === undefined ? undefined : Number(this._pressure.toFixed(PRESSURE_DIGITS));
    return { timeliness, rank, pressure };
  }

  private _note(outcome: 'sent' | 'rejected'): void {
    this._admission.noteOutcome(this._request.profile, outcome, this._clock.now());
  }
}
