/** Creates the admission policy that the settings name. */
import type { AdmissionKind, AdmissionPolicy } from './admissionPolicy.js';
import type { Random } from '../utils/random.js';
import { ArrivalOrderPolicy } from './arrivalOrderPolicy.js';
import { OnTimeFirstPolicy } from './onTimeFirstPolicy.js';

export function createAdmissionPolicy(kind: AdmissionKind, random: Random): AdmissionPolicy {
  return kind === 'arrival-order' ? new ArrivalOrderPolicy(random) : new OnTimeFirstPolicy(random);
}
