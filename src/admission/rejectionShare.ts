/** Measures which share of the requests for a service was recently rejected. Late requests count as well. */
import type { SlotOutcome } from './admissionPolicy.js';
import { DecayingCount } from './decayingCount.js';

/** Shorter than the time from a rejection to its retry. */
const HALF_LIFE_MILLISECONDS = 700;

interface OutcomeCounts {
  sent: DecayingCount;
  rejected: DecayingCount;
}

export class RejectionShare {
  private readonly _counts = new Map<string, OutcomeCounts>();

  note(service: string, outcome: SlotOutcome, now: number): void {
    let counts = this._counts.get(service);
    if (!counts) {
      counts = {
        sent: new DecayingCount(HALF_LIFE_MILLISECONDS),
        rejected: new DecayingCount(HALF_LIFE_MILLISECONDS),
      };
      this._counts.set(service, counts);
    }
    counts[outcome].add(now);
  }

  /** The share, from 0 to 1; 0 without any requests. */
  at(service: string, now: number): number {
    const counts = this._counts.get(service);
    if (!counts) return 0;
    const rejected = counts.rejected.at(now);
    return rejected === 0 ? 0 : rejected / (rejected + counts.sent.at(now));
  }
}
