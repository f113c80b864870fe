/** Admission in order of arrival: every request may use every free slot. */
import type { AdmissionPolicy, AdmissionProfile, Arrival, Precedence } from './admissionPolicy.js';

export class ArrivalOrderPolicy implements AdmissionPolicy {
  readonly kind = 'arrival-order';

  admit({ service, objectiveMilliseconds, arrivedAt }: Arrival): AdmissionProfile {
    return { service, rank: 0, ranks: 1, objectiveMilliseconds, firstAttemptAt: arrivedAt, lot: 0 };
  }

  precedence(): Precedence {
    return { timeliness: 'on-time', rank: 0 };
  }

  reservedShare(): number {
    return 0;
  }

  noteOutcome(): void {}
}
