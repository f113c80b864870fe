/**
 * Ranks the requests of each service by the priorities of their customers and routes. Answers the load pattern in which
 * callers of several priorities compete for insufficient capacity.
 */

/** The properties of a route that its rank depends on. */
export interface RankedRoute {
  name: string;
  priority: number;
  targets: readonly { service: string }[];
  anonymous: boolean;
}

export interface RankedCustomer {
  priority: number | undefined;
}

/** Rank of a request among those of its service. */
export interface ServiceRank {
  /** 0 is the most urgent. */
  rank: number;
  /** Number of ranks of the service. */
  ranks: number;
}

/** Immutable; computed once for each version of the configuration. */
export class RequestRanks {
  /** Sort keys of the requests of each service, the most urgent first. */
  private readonly _keysByService = new Map<string, string[]>();

  constructor(routes: readonly RankedRoute[], customers: readonly RankedCustomer[]) {
    const priorities = new Set(customers.map(({ priority }) => priority));
    const pairsByService = new Map<string, Map<string, PriorityPair>>();
    for (const route of routes) {
      const ofRoute = new Set(priorities);
      if (route.anonymous || customers.length === 0) ofRoute.add(undefined);
      for (const { service } of route.targets) {
        const pairs = pairsByService.get(service) ?? new Map<string, PriorityPair>();
        pairsByService.set(service, pairs);
        for (const priority of ofRoute) pairs.set(keyOf(route, priority), pairOf(route, priority));
      }
    }
    for (const [service, pairs] of pairsByService) {
      const ordered = [...pairs].sort(([, a], [, b]) => a[0] - b[0] || a[1] - b[1]);
      this._keysByService.set(
        service,
        ordered.map(([key]) => key),
      );
    }
  }

  /** Returns the rank of a request to `service`; the only one if the service or its priorities are unknown. */
  rank(service: string, route: RankedRoute, customerPriority: number | undefined): ServiceRank {
    const keys = this._keysByService.get(service) ?? [];
    const rank = Math.max(0, keys.indexOf(keyOf(route, customerPriority)));
    return { rank, ranks: Math.max(1, keys.length) };
  }
}

/** The priority that applies first, and the one that decides among equals. */
type PriorityPair = readonly [first: number, second: number];

function pairOf(route: RankedRoute, customerPriority: number | undefined): PriorityPair {
  return [customerPriority ?? route.priority, route.priority];
}

function keyOf(route: RankedRoute, customerPriority: number | undefined): string {
  return pairOf(route, customerPriority).join('/');
}
