/** Retains evacuations across a rollback of the store for as long as the operator needs to write them again. */
import type { RollbackPolicy } from '../records/rollbackPolicy.js';

/**
 * Time in which the store answers and the operator writes lost changes again. Without this bound, an evacuation that
 * the operator has ended in the meantime would never end.
 */
export const RETAINED_EVACUATION_MILLISECONDS = 10_000;

export class EvacuationRollbackPolicy implements RollbackPolicy {
  /** Values have no meaning: the evacuation is in force while the object exists. */
  replaced(): number {
    return 0;
  }

  missing(): number {
    return RETAINED_EVACUATION_MILLISECONDS;
  }

  /** An evacuation that the older copy contains again is in force again. */
  deleted(): number {
    return 0;
  }
}
