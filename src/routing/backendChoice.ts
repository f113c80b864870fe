/** Chooses the box for a request. Pure but for randomness. */
import type { Random } from '../utils/random.js';
import { rendezvousOrder } from '../utils/rendezvous.js';
import type { Backend } from './backend.js';

/** The boxes of one configuration, by distance from this entry. */
export interface BackendPool {
  sameDataCentre: readonly Backend[];
  otherDataCentres: readonly Backend[];
}

/** What a choice depends on. */
export interface ChoiceRequest {
  /** Hash key of customer and prompt prefix, '' for none: requests that share it like the same box. */
  affinity: string;
  /** Whether a box may be chosen: not tried before, circuit closed. */
  allows: (box: string) => boolean;
  now: number;
}

/** Why a box was chosen; goes into the decision log. */
export type ChoiceReason = 'affinity' | 'less-loaded' | 'only-one';

export interface Choice {
  backend: Backend;
  reason: ChoiceReason;
}

/** Requests over capacity, in parts of it, at which the own data centre counts as full and others are looked at. */
const FULL_LOAD = 1.5;
/** How much busier the affine box may be, in parts of capacity, before the request goes elsewhere. */
const AFFINITY_TOLERANCE = 0.5;

/** Up to this many boxes all are looked at; of more, a sample, since the look would cost more than it is worth. */
const MAX_RANKED_BOXES = 64;
const SAMPLED_BOXES = 16;

/** The own data centre first; there, the affine box unless it is much busier than another, else the less loaded of two. */
export function chooseBackend(pool: BackendPool, request: ChoiceRequest, random: Random): Choice | undefined {
  const choice = chooseCandidate(candidatesOf(pool.sameDataCentre, request, random), request, random);
  if (choice && utilizationOf(choice.backend, request.now) < FULL_LOAD) return choice;
  const other = chooseCandidate(candidatesOf(pool.otherDataCentres, request, random), request, random);
  if (!choice || !other) return choice ?? other;
  return utilizationOf(other.backend, request.now) < utilizationOf(choice.backend, request.now)
    ? other
    : choice;
}

/** The boxes that may be chosen; of very many, a sample. */
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
  const affine = affineBackend(candidates, request.affinity);
  if (
    affine &&
    utilizationOf(affine, request.now) <= utilizationOf(lessLoaded, request.now) + AFFINITY_TOLERANCE
  ) {
    return { backend: affine, reason: 'affinity' };
  }
  return { backend: lessLoaded, reason: 'less-loaded' };
}

function affineBackend(candidates: readonly Backend[], affinity: string): Backend | undefined {
  if (affinity === '') return undefined;
  return rendezvousOrder(affinity, candidates, (backend) => backend.box)[0];
}

function utilizationOf(backend: Backend, now: number): number {
  return backend.load.estimate(now) / backend.capacity;
}
