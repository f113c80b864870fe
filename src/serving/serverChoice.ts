/** Chooses the backend server with the lowest expected cost for a request. Pure functions except for randomness. */
import type { SlotLimits } from '../admission/admissionPolicy.js';
import { NO_SLOT_LIMITS } from '../admission/admissionPolicy.js';
import type { Random } from '../utils/random.js';
import { shuffled } from '../utils/random.js';

/** Properties of a backend server that its choice depends on. */
export interface Candidate {
  id: string;
  sameDataCentre: boolean;
  slots: number;
  /** Running and queued requests on the server, from all entries. */
  load: number;
  /** Prompts that the server has accepted but not read (prefilled) yet. */
  pendingPrompts: number;
  /** Share of recent attempts that failed, from 0 to 1. */
  failureRate: number;
  /** Recent time to the first byte of an answer, in milliseconds. */
  firstByteMilliseconds: number;
  /** Whether the link of its box is slow. */
  slowLink: boolean;
  /** Whether it still serves an older version some time after a newer one was announced. */
  outdated: boolean;
  /** Whether it is about to switch versions, so that its streams have to be handed over soon. */
  preparing: boolean;
  /** Whether to use it only when no other server has room. */
  avoided: boolean;
  /** Whether it fails repeatedly, so that it is used only when there is no other server. */
  failing: boolean;
}

/** Cost parameters of the requests of a service. */
export interface ServiceCost {
  /** Mean time that a request occupies a slot, in milliseconds. */
  serviceMilliseconds: number;
  /** Mean time that a server needs to read a prompt, in milliseconds; 0 for services without prompts. */
  readMilliseconds: number;
  /** Time to the first byte from a healthy server, in milliseconds. */
  typicalFirstByteMilliseconds: number;
  /** Load above which nothing more is sent to a server, as a multiple of its slots. */
  maxFill: number;
  /**
   * How much slower a full server is than an empty one, as a share of the service time. It is close to 0 for engines,
   * which write a token for all running requests in one step: there, requests wait only for earlier prompts.
   */
  batchSlowdown: number;
  /** Cost differences below this are ignored because load reports lag, in milliseconds. */
  tieMilliseconds: number;
}

/** Cost of another data centre: the round trip, and traffic between data centres. */
const OTHER_DATA_CENTRE_COST_MILLISECONDS = 20;
/** Cost of a slow link: requests and events queue behind chunks. */
const SLOW_LINK_COST_MILLISECONDS = 400;
/** Cost of an older version shortly before the version deadline: a delayed request could begin there too late. */
const OUTDATED_COST_MILLISECONDS = 60;
/** Cost of a server that is about to switch versions: half of its prompts have to be read again elsewhere. */
const PREPARING_COST_MILLISECONDS = 100;
/** Cost of a failed attempt. */
const FAILURE_COST_MILLISECONDS = 1_500;
/** Failure rate of a healthy server, which costs nothing. */
const NORMAL_FAILURE_RATE = 0.12;
/** Cost of the last free slot, after which the next request has to wait. The first slots cost almost nothing. */
const LAST_SLOT_COST_MILLISECONDS = 100;
const CROWDING_EXPONENT = 4;
/** Number of servers that are sampled and compared, and how many of them are in the own data centre. */
const USUAL_SAMPLE = { size: 4, own: 3 };
/** The same while servers are nearly full, when all entries would choose the emptiest one of the last reports. */
const SPREAD_SAMPLE = { size: 2, own: 1 };

/** Expected cost of sending a request to `candidate`, in milliseconds. */
export function expectedCost(candidate: Candidate, service: ServiceCost): number {
  const { serviceMilliseconds, readMilliseconds } = service;
  const filled = Math.min(1, candidate.load / candidate.slots);
  const ahead = Math.max(0, candidate.load + 1 - candidate.slots);
  const waiting = (ahead / candidate.slots) * serviceMilliseconds;
  const failing = Math.max(0, candidate.failureRate - NORMAL_FAILURE_RATE) * FAILURE_COST_MILLISECONDS;
  const distance = candidate.sameDataCentre ? 0 : OTHER_DATA_CENTRE_COST_MILLISECONDS;
  const reading = candidate.pendingPrompts * readMilliseconds;
  const link = candidate.slowLink ? SLOW_LINK_COST_MILLISECONDS : 0;
  const slow = Math.max(0, candidate.firstByteMilliseconds - service.typicalFirstByteMilliseconds);
  const outdated = candidate.outdated ? OUTDATED_COST_MILLISECONDS : 0;
  const preparing = candidate.preparing ? PREPARING_COST_MILLISECONDS : 0;
  const busy = filled * service.batchSlowdown * serviceMilliseconds;
  const crowded = filled ** CROWDING_EXPONENT * LAST_SLOT_COST_MILLISECONDS;
  return busy + crowded + reading + waiting + failing + slow + link + distance + outdated + preparing;
}

/** Share of the objective that is needed besides the waiting time. */
const BASE_SHARE = 0.4;

/**
 * Whether a request sent to `candidate` is likely to get its first byte within its objective. If no
 * candidate qualifies, the request is refused, because more work on a full server would delay all of its requests.
 * `reservedShare` is the share of the slots that the request has to leave to others.
 */
export function canMeetObjective(
  candidate: Candidate,
  service: ServiceCost,
  objectiveMilliseconds: number,
  reservedShare = 0,
): boolean {
  if (candidate.load >= candidate.slots * service.maxFill * (1 - reservedShare)) return false;
  const spare = objectiveMilliseconds * (1 - BASE_SHARE);
  return candidate.pendingPrompts * service.readMilliseconds <= spare;
}

/**
 * Samples a few of the candidates that are likely to meet the objective, and returns the cheapest of them.
 *
 * Repeatedly failing servers are considered only if there are no others, even when the others are full: a server
 * that resets or drops requests always looks free and would attract all the overflow.
 *
 * Sampling avoids herding: all entries decide on the same lagging load reports, and without it they would all
 * choose the same server, such as an empty one that has just started.
 */
export function chooseServer<T extends Candidate>(
  candidates: readonly T[],
  service: ServiceCost,
  objectiveMilliseconds: number,
  random: Random,
  { reservedShare, spread }: SlotLimits = NO_SLOT_LIMITS,
): T | undefined {
  const healthy = candidates.filter((candidate) => !candidate.failing);
  const timely = (healthy.length > 0 ? healthy : candidates).filter((candidate) =>
    canMeetObjective(candidate, service, objectiveMilliseconds, reservedShare),
  );
  const preferred = timely.filter((candidate) => !candidate.avoided);
  const usable = preferred.length > 0 ? preferred : timely;
  const ownDataCentre = shuffled(
    usable.filter((candidate) => candidate.sameDataCentre),
    random,
  );
  const otherDataCentres = shuffled(
    usable.filter((candidate) => !candidate.sameDataCentre),
    random,
  );
  const { size, own } = spread ? SPREAD_SAMPLE : USUAL_SAMPLE;
  const ownSample = ownDataCentre.slice(0, Math.max(own, size - otherDataCentres.length));
  const sample = [...ownSample, ...otherDataCentres.slice(0, size - ownSample.length)];
  return cheapest(sample, service);
}

/** Mean fill of the candidates, without those that fail and only look empty; 1 when no more is sent to any of them. */
export function meanFill(candidates: readonly Candidate[], service: ServiceCost): number {
  const healthy = candidates.filter((candidate) => !candidate.failing && !candidate.avoided);
  const slots = healthy.reduce((sum, candidate) => sum + candidate.slots, 0) * service.maxFill;
  const filled = healthy.reduce((sum, candidate) => sum + candidate.load, 0);
  return slots > 0 ? filled / slots : 0;
}

/** Returns the first candidate unless a later one is cheaper by more than the tie margin. */
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
