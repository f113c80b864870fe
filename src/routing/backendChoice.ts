/** Chooses the box for a request. Pure functions except for randomness. */
import type { Random } from '../utils/random.js';
import { rendezvousOrder } from '../utils/rendezvous.js';
import type { Backend } from './backend.js';

/** The boxes that serve one configuration, split by whether they are in this entry's data centre. */
export interface BackendPool {
  sameDataCentre: readonly Backend[];
  otherDataCentres: readonly Backend[];
}

export interface ChoiceRequest {
  /** Hash key of customer and prompt prefix, '' for none. Requests with the same key prefer the same box. */
  affinity: string;
  /** Whether a box may be chosen: it has not been tried yet and its circuit breaker lets requests through. */
  allows: (box: string) => boolean;
  now: number;
}

/** Why a box was chosen; written to the decision log. */
export type ChoiceReason = 'affinity' | 'less-loaded' | 'only-one';

export interface Choice {
  backend: Backend;
  reason: ChoiceReason;
}

/** Utilization (requests / capacity) at which the own data centre counts as full and others are considered. */
const FULL_LOAD = 1.5;
/** How much higher the utilization of the affinity key's box may be before the request goes to a less loaded one. */
const AFFINITY_TOLERANCE = 0.5;

/** Above this number of boxes only a sample is examined, to bound the cost of a choice. */
const MAX_RANKED_BOXES = 64;
const SAMPLED_BOXES = 16;

/**
 * Prefers this entry's data centre. Within a data centre, picks the box that the affinity key selects, unless it is
 * much busier than the less loaded of two random boxes, which is picked otherwise.
 */
export function chooseBackend(pool: BackendPool, request: ChoiceRequest, random: Random): Choice | undefined {
  const choice = chooseCandidate(candidatesOf(pool.sameDataCentre, request, random), request, random);
  if (choice && utilizationOf(choice.backend, request.now) < FULL_LOAD) return choice;
  const other = chooseCandidate(candidatesOf(pool.otherDataCentres, request, random), request, random);
  if (!choice || !other) return choice ?? other;
  return utilizationOf(other.backend, request.now) < utilizationOf(choice.backend, request.now)
    ? other
    : choice;
}

/** Returns the boxes that may be chosen, or a sample of them when there are many. */
function candidatesOf(backends: readonly Backend[], request: ChoiceRequest, random: Random): Backend[] {
  if (backends.length <= MAX_RANKED_BOXES) return backends.filter((backend) => request.allows(backend.box));
  const first = random.integer(backends.length);
  const sample = Array.from(
    { length: SAMPLED_BOXES },
    (_none, step) => backends[(first + step * step) % backends.length],
  );
  const allowed = sample.filter((backend) => request.allows(backend.box));
  return allowed.length > 0 ? allowed : backends.filter((backend) => request.allows(backend.box));
}

function chooseCandidate(
  candidates: readonly Backend[],
  request: ChoiceRequest,
  random: Random,
): Choice | undefined {
  if (candidates.length === 0) return undefined;
  if (candidates.length === 1) return { backend: candidates[0], reason: 'only-one' };
  const first = random.integer(candidates.length);
  const one = candidates[first];
  const two = candidates[(first + 1 + random.integer(candidates.length - 1)) % candidates.length];
  const lessLoaded = utilizationOf(one, request.now) <= utilizationOf(two, request.now) ? one : two;
  const preferred = affinityBackend(candidates, request.affinity);
  if (
    preferred &&
    utilizationOf(preferred, request.now) <= utilizationOf(lessLoaded, request.now) + AFFINITY_TOLERANCE
  ) {
    return { backend: preferred, reason: 'affinity' };
  }
  return { backend: lessLoaded, reason: 'less-loaded' };
}

function affinityBackend(candidates: readonly Backend[], affinity: string): Backend | undefined {
  if (affinity === '') return undefined;
  return rendezvousOrder(affinity, candidates, (backend) => backend.box)[0];
}

function utilizationOf(backend: Backend, now: number): number {
  return backend.load.estimate(now) / backend.capacity;
}
