/** Selects the boxes that may serve a configuration while a rollout is in progress. Pure functions. */
import type { Backend } from './backend.js';

/** Share of the boxes that must have confirmed the activated rollout before the others get no more requests. */
const CONFIRMED_QUORUM = 0.5;

/** Returns the boxes on the activated rollout once enough of them have confirmed it, otherwise all serving boxes. */
export function preferVersion(
  backends: readonly Backend[],
  activatedRollout: string | undefined,
): readonly Backend[] {
  if (activatedRollout === undefined) return backends;
  const confirmed = backends.filter((backend) => backend.rollout === activatedRollout);
  return confirmed.length >= Math.max(1, backends.length * CONFIRMED_QUORUM) ? confirmed : backends;
}
