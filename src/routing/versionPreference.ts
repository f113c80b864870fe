/** Which of the boxes may serve while a configuration moves from one version to the next. Pure. */
import type { Backend } from './backend.js';

/** Part of the boxes that must have confirmed the new version before the others get no more work. */
const CONFIRMED_QUORUM = 0.5;

/** Returns the boxes on the activated rollout once enough have confirmed it, all serving boxes before. */
export function preferVersion(
  backends: readonly Backend[],
  activatedRollout: string | undefined,
): readonly Backend[] {
  if (activatedRollout === undefined) return backends;
  const confirmed = backends.filter((backend) => backend.rollout === activatedRollout);
  return confirmed.length >= Math.max(1, backends.length * CONFIRMED_QUORUM) ? confirmed : backends;
}
