/** Chooses the backend server for a request: the lowest expected cost. Pure but for randomness. */
import type { Random } from '../utils/random.js';

/** A backend server as a choice sees it. */
export interface Candidate {
  id: string;
  sameHall: boolean;
  slots: number;
  /** Requests on the server, running or queued, over all entries. */
  load: number;
  /** Part of recent attempts that failed, from 0 to 1. */
  failureRate: number;
  /** Whether to use it only when there is no other. */
  avoided: boolean;
}

/** How a service's requests weigh on a server. */
export interface ServiceCost {
  /** Mean time that a request holds a slot, in milliseconds. */
  serviceMilliseconds: number;
}

/** What another hall costs: the way there and back, and bytes between halls. */
const OTHER_HALL_MILLISECONDS = 20;
/** What a failed attempt costs. */
const FAILURE_MILLISECONDS = 1_500;
/** Failures that every server has now and then. */
const USUAL_FAILURE_RATE = 0.12;
/** How much slower a full batch is than an empty one, in parts of the service time. */
const BATCH_SLOWDOWN = 0.25;
/** Servers whose costs differ by less count as equal. */
const EQUAL_MILLISECONDS = 5;

/** Expected cost of sending a request to `candidate`, in milliseconds. */
export function expectedCost(candidate: Candidate, service: ServiceCost): number {
  const { serviceMilliseconds } = service;
  const filled = Math.min(1, candidate.load / candidate.slots);
  const ahead = Math.max(0, candidate.load + 1 - candidate.slots);
  const waiting = (ahead / candidate.slots) * serviceMilliseconds;
  const failing = Math.max(0, candidate.failureRate - USUAL_FAILURE_RATE) * FAILURE_MILLISECONDS;
  const distance = candidate.sameHall ? 0 : OTHER_HALL_MILLISECONDS;
  return filled * BATCH_SLOWDOWN * serviceMilliseconds + waiting + failing + distance;
}

/** The candidate of lowest cost; avoided ones only when there is no other. */
export function chooseServer<T extends Candidate>(
  candidates: readonly T[],
  service: ServiceCost,
  random: Random,
): T | undefined {
  const usable = candidates.filter((candidate) => !candidate.avoided);
  let best: T | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of usable.length > 0 ? usable : candidates) {
    const cost = expectedCost(candidate, service) + random.fraction() * EQUAL_MILLISECONDS;
    if (cost >= bestCost) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}
