/** Admission by timeliness and rank: under shortage, slots are reserved for on-time requests and for urgent ranks. */
import type {
  AdmissionPolicy,
  AdmissionProfile,
  Arrival,
  FleetLoad,
  Precedence,
  Rejection,
  SlotLimits,
  SlotOutcome,
} from './admissionPolicy.js';
import type { Random } from '../utils/random.js';
import { FirstAttempts, lateFrom, timelinessOf } from './firstAttempts.js';
import { PressureTrend } from './pressureTrend.js';
import { RankShares } from './rankShares.js';
import { mustSpread, sentShare } from './contention.js';
import { callerDelay } from './retryDelay.js';
import { RejectionShare } from './rejectionShare.js';
import { FIRST_PRESSURE, reservedShare } from './reservedSlots.js';

/** Share of the objective for which a request may wait: its caller loses nothing by a later rejection. */
const MAX_WAIT_SHARE = 1 / 8;

export class OnTimeFirstPolicy implements AdmissionPolicy {
  readonly kind = 'on-time-first';
  private readonly _firstAttempts = new FirstAttempts();
  private readonly _shares = new RankShares();
  private readonly _trend = new PressureTrend();
  private readonly _rejections = new RejectionShare();
  private readonly _random: Random;

  constructor(random: Random) {
    this._random = random;
  }

  admit(arrival: Arrival): AdmissionProfile {
    const { service, route, rank, ranks, objectiveMilliseconds, arrivedAt, deadlineMilliseconds } = arrival;
    const since = this._firstAttempts.millisecondsSince(route, deadlineMilliseconds);
    return {
      service,
      rank,
      ranks,
      objectiveMilliseconds,
      firstAttemptAt: arrivedAt - since,
      lot: this._random.fraction(),
    };
  }

  precedence({ rank, firstAttemptAt, objectiveMilliseconds }: AdmissionProfile, now: number): Precedence {
    return { rank, timeliness: timelinessOf(now - firstAttemptAt, objectiveMilliseconds) };
  }

  slotLimits(profile: AdmissionProfile, load: FleetLoad, now: number): SlotLimits {
    const { timeliness, rank } = this.precedence(profile, now);
    const isDeprived = timeliness === 'on-time' && this._shares.isDeprived(profile.service, rank, now);
    const precedence = { timeliness, rank: isDeprived ? 0 : rank };
    const recent = this._trend.note(profile.service, load.pressure, now);
    const pressure = timeliness === 'late' ? Math.max(load.pressure, recent) : load.pressure;
    const isHeldBack = profile.lot >= sentShare(precedence, profile.ranks, { ...load, pressure });
    const reserved = isHeldBack ? 1 : reservedShare(precedence, profile.ranks, pressure);
    return { reservedShare: reserved, spread: mustSpread(load) };
  }

  /** No slot is expected during a lasting shortage; a wait would only make the request, and those after it, late. */
  maxWait(profile: AdmissionProfile, now: number): number {
    const { service, firstAttemptAt, objectiveMilliseconds } = profile;
    if (this._trend.mean(service) >= FIRST_PRESSURE) return 0;
    const left = lateFrom(firstAttemptAt, objectiveMilliseconds) - now;
    return Math.max(0, Math.min(left, objectiveMilliseconds * MAX_WAIT_SHARE));
  }

  noteOutcome(profile: AdmissionProfile, outcome: SlotOutcome, now: number): void {
    this._rejections.note(profile.service, outcome, now);
    if (this.precedence(profile, now).timeliness === 'late') return;
    this._shares.note(profile.service, profile.rank, outcome, now);
  }

  retryDelay(rejection: Rejection, now: number): number {
    const { profile, lacksSlot } = rejection;
    const situation = {
      timeliness: this.precedence(profile, now).timeliness,
      pressure: lacksSlot ? this._trend.mean(profile.service) : 1,
      rejectedShare: this._rejections.at(profile.service, now),
    };
    return callerDelay(rejection, situation, this._random.fraction());
  }
}
