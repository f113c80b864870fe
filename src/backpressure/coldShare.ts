/** Computes how many requests per second one entry may send to a cold server. Pure functions. */

/** What one entry may send to a cold server. */
export interface ColdShare {
  /** Requests per second. */
  perSecond: number;
  /** Requests that may follow each other immediately; at least 1. */
  burst: number;
}

/** How many entries share a cold server, and what each of them may send. */
export interface ColdDivision {
  holders: number;
  share: ColdShare;
}

/** Target rate, as a share of the rate that a cold server handles. */
const TARGET_SHARE = 0.9;
/** A cold server fails well above this multiple of its rate plus the slack, in any second. */
const BOUND_FACTOR = 1.5;
const BOUND_SLACK_REQUESTS = 5;
/**
 * Groups of entries that may divide the same limit without knowing of each other: the halves of a fleet that is split,
 * or entries with an earlier and a later list.
 */
const INDEPENDENT_GROUPS = 2;
/** Rate of a holder relative to the whole number of requests that it may send in a second, which it must not reach. */
const RATE_MARGIN = 0.95;
/**
 * Part of a group's requests that one entry may send. A list with a single candidate may well be incomplete: with two
 * thirds of the entries in each list, three entries of six each sent a group's whole part, 47 requests in a second for a
 * bound of 44.
 */
const MAX_PART_OF_ENTRY = 0.6;
/** Among divisions with nearly the highest total rate, the one with most holders is used. */
const NEARLY_BEST = 0.9;
/**
 * Assumed number of entries while they are unknown: a fleet has up to 100. With 75, 100 entries that know nothing of
 * each other exceeded the bound; with more, most requests were rejected after a loss of power, when all servers are cold.
 */
const ASSUMED_ENTRIES = 100;

/**
 * Divides the rate of a cold server between at most `candidates` entries.
 *
 * In any second, a holder sends at most a whole number of requests, and all holders together at most their group's part
 * of the bound. So the bound holds whatever the timing of the requests, also when two groups divide the rate.
 */
export function divideColdRate(coldPerSecond: number, candidates: number): ColdDivision {
  const allowed = (BOUND_FACTOR * coldPerSecond + BOUND_SLACK_REQUESTS) / INDEPENDENT_GROUPS;
  const mostHolders = Math.max(1, Math.min(candidates, Math.floor(allowed)));
  const divisions = Array.from({ length: mostHolders }, (_unused, index) =>
    divisionBetween(mostHolders - index, coldPerSecond, allowed),
  );
  const best = Math.max(...divisions.map(totalRate));
  return divisions.find((division) => totalRate(division) >= NEARLY_BEST * best)!;
}

/** The share of an entry that does not know the other entries yet; every such entry has one. */
export function shareAmongUnknown(coldPerSecond: number): ColdShare {
  return { perSecond: (TARGET_SHARE * coldPerSecond) / ASSUMED_ENTRIES, burst: 1 };
}

/**
 * The division between this number of holders. In less than a second, a token bucket sends fewer than burst + rate
 * requests, which is `mostInSecond` + 1.
 */
function divisionBetween(holders: number, coldPerSecond: number, allowed: number): ColdDivision {
  const mostInSecond = Math.max(1, Math.floor(Math.min(allowed / holders, allowed * MAX_PART_OF_ENTRY)));
  const perSecond = Math.min((TARGET_SHARE * coldPerSecond) / holders, RATE_MARGIN * mostInSecond);
  return { holders, share: { perSecond, burst: Math.max(1, mostInSecond + 1 - perSecond) } };
}

function totalRate({ holders, share }: ColdDivision): number {
  return holders * share.perSecond;
}
