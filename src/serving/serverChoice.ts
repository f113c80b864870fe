/** Chooses the backend server for a request: the lowest expected cost. Pure but for randomness. */
import type { Random } from '../utils/random.js';
import { shuffled } from '../utils/random.js';

/** A backend server as a choice sees it. */
export interface Candidate {
  id: string;
  sameDataCentre: boolean;
  slots: number;
  /** Requests on the server, running or queued, over all entries. */
  load: number;
  /** Prompts on the server that it has yet to read. */
  pendingPrompts: number;
  /** Part of recent attempts that failed, from 0 to 1. */
  failureRate: number;
  /** Recent time to the first answer, in milliseconds. */
  firstAnswerMilliseconds: number;
  /** Whether the link of its box is narrow. */
  slowLink: boolean;
  /** Whether it serves an older version than the newest, some time after that was named. */
  outdated: boolean;
  /** Whether it is about to change its version, so that its streams have to be handed over soon. */
  preparing: boolean;
  /** Whether to use it only when no other one has room. */
  avoided: boolean;
  /** Whether it fails time after time, so that it is used only when there is no other. */
  failing: boolean;
}

/** How a service's requests weigh on a server. */
export interface ServiceCost {
  /** Mean time that a request holds a slot, in milliseconds. */
  serviceMilliseconds: number;
  /** Mean time that a server needs to read a prompt, in milliseconds; 0 where there are none. */
  readMilliseconds: number;
  /** Time to the first answer of a server that is well, in milliseconds. */
  typicalFirstMilliseconds: number;
  /** Requests on a server, in parts of its slots, beyond which no more are sent. */
  maxFill: number;
  /**
   * How much slower a full server is than an empty one, in parts of the service time. Engines write a token for all
   * running requests in one step: there it is next to nothing, and what makes a request wait are prompts before its own.
   */
  batchSlowdown: number;
  /** Differences of cost that say nothing, since load is told with a lag, in milliseconds. */
  tieMilliseconds: number;
}

/** What another data centre costs: the way there and back, and bytes between data centres. */
const OTHER_DATA_CENTRE_MILLISECONDS = 20;
/** What a narrow link costs: requests and events wait behind chunks. */
const SLOW_LINK_MILLISECONDS = 400;
/** What an older version costs late before its bound: a request may begin there too late if anything holds it up. */
const OUTDATED_MILLISECONDS = 60;
/** What a server costs that is about to change its version: half of what is sent to it has to be read again elsewhere. */
const PREPARING_MILLISECONDS = 100;
/** What a failed attempt costs. */
const FAILURE_MILLISECONDS = 1_500;
/** Failures that every server has now and then. */
const USUAL_FAILURE_RATE = 0.12;
/** What the last place costs: the next request has to wait for one to end. The first places cost next to nothing. */
const LAST_PLACE_MILLISECONDS = 100;
const CROWDING_POWER = 4;
/** Servers that are compared, and how many of them stand in the own data centre. */
const DRAWN = 4;
const NEAR_DRAWN = 3;

/** Expected cost of sending a request to `candidate`, in milliseconds. */
export function expectedCost(candidate: Candidate, service: ServiceCost): number {
  const { serviceMilliseconds, readMilliseconds } = service;
  const filled = Math.min(1, candidate.load / candidate.slots);
  const ahead = Math.max(0, candidate.load + 1 - candidate.slots);
  const waiting = (ahead / candidate.slots) * serviceMilliseconds;
  const failing = Math.max(0, candidate.failureRate - USUAL_FAILURE_RATE) * FAILURE_MILLISECONDS;
  const distance = candidate.sameDataCentre ? 0 : OTHER_DATA_CENTRE_MILLISECONDS;
  const reading = candidate.pendingPrompts * readMilliseconds;
  const link = candidate.slowLink ? SLOW_LINK_MILLISECONDS : 0;
  const slow = Math.max(0, candidate.firstAnswerMilliseconds - service.typicalFirstMilliseconds);
  const outdated = candidate.outdated ? OUTDATED_MILLISECONDS : 0;
  const preparing = candidate.preparing ? PREPARING_MILLISECONDS : 0;
  const busy = filled * service.batchSlowdown * serviceMilliseconds;
  const crowded = filled ** CROWDING_POWER * LAST_PLACE_MILLISECONDS;
  return busy + crowded + reading + waiting + failing + slow + link + distance + outdated + preparing;
}

/** Time to the first answer beside what waits, in parts of the objective. */
const BASE_SHARE = 0.4;

/**
 * Whether a request sent to `candidate` is likely to get its first answer within its objective. Where none is, the
 * request is better refused at once: more work on a full server makes all of it late.
 */
export function canMeetObjective(
  candidate: Candidate,
  service: ServiceCost,
  objectiveMilliseconds: number,
): boolean {
  if (candidate.load >= candidate.slots * service.maxFill) return false;
  const spare = objectiveMilliseconds * (1 - BASE_SHARE);
  return candidate.pendingPrompts * service.readMilliseconds <= spare;
}

/**
 * The best of a few candidates drawn at random, of those that are likely to answer within the objective. A server that resets
 * or swallows requests always has room, and as a place for what others have no room for it would take the most: those that
 * fail time after time count only where there is no other, full or not. All entries decide on the same load reports, which
 * lag: if each took the best of all, all would take the same one, such as a server that has just come into service and is
 * empty.
 */
export function chooseServer<T extends Candidate>(
  candidates: readonly T[],
  service: ServiceCost,
  objectiveMilliseconds: number,
  random: Random,
): T | undefined {
  const sound = candidates.filter((candidate) => !candidate.failing);
  const timely = (sound.length > 0 ? sound : candidates).filter((candidate) =>
    canMeetObjective(candidate, service, objectiveMilliseconds),
  );
  const fit = timely.filter((candidate) => !candidate.avoided);
  const usable = fit.length > 0 ? fit : timely;
  const near = shuffled(
    usable.filter((candidate) => candidate.sameDataCentre),
    random,
  );
  const far = shuffled(
    usable.filter((candidate) => !candidate.sameDataCentre),
    random,
  );
  const nearDrawn = near.slice(0, Math.max(NEAR_DRAWN, DRAWN - far.length));
  const drawn = [...nearDrawn, ...far.slice(0, DRAWN - nearDrawn.length)];
  return cheapest(drawn, service);
}

/** The first candidate, unless a later one is clearly cheaper. */
function cheapest<T extends Candidate>(candidates: readonly T[], service: ServiceCost): T | undefined {
  let best: T | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = expectedCost(candidate, service);
    if (cost >= bestCost - service.tieMilliseconds) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}
