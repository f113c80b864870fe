/** Admission in order of arrival: every request may use every free slot. */
import type { Random } from '../utils/random.js';
import type {
  AdmissionPolicy,
  AdmissionProfile,
  Arrival,
  Precedence,
  Rejection,
  SlotLimits,
} from './admissionPolicy.js';
import { NO_SLOT_LIMITS } from './admissionPolicy.js';
import { spreadDelay } from './retryDelay.js';

/** Minimum wait as a share of the maximum wait; the range spreads out callers that were rejected together. */
const MIN_SHARE = 0.5;

export class ArrivalOrderPolicy implements AdmissionPolicy {
  readonly kind = 'arrival-order';
  private readonly _random: Random;

  constructor(random: Random) {
    this._random = random;
  }

  admit({ service, objectiveMilliseconds, arrivedAt }: Arrival): AdmissionProfile {
    return { service, rank: 0, ranks: 1, objectiveMilliseconds, firstAttemptAt: arrivedAt, lot: 0 };
  }

  precedence(): Precedence {
    return { timeliness: 'on-time', rank: 0 };
  }

  slotLimits(): SlotLimits {
    return NO_SLOT_LIMITS;
  }

  maxWait(): number {
    return 0;
  }

  noteOutcome(): void {}

  /**
   * Load bursts, version switches and lost servers last for seconds, and an answer is as useful to the caller later, as
   * long as it comes before the deadline.
   */
  retryDelay(rejection: Rejection): number {
    return spreadDelay(rejection, MIN_SHARE, this._random.fraction());
  }
}
