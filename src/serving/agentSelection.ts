/** Which agents an entry keeps connections to, so that a fleet of any size costs an entry the same. Pure. */
import type { AgentAddress } from '../protocol/boxMessages.js';
import type { PlacedBox } from '../utils/dataCentreOrder.js';
import { orderAcrossDataCentres } from '../utils/dataCentreOrder.js';
import { rendezvousOrder } from '../utils/rendezvous.js';

/** Up to so many agents of a service, an entry is connected to all of them. */
const MOST_AGENTS_FOR_ALL = 40;
/**
 * Agents of its own data centre that an entry is connected to. With 29 servers and 20 entries in a data centre, a server
 * tells its load to 8 of them, and an entry sends to each of its servers often enough that connections stay open.
 */
const MOST_NEAR_AGENTS = 12;
/** Agents of other data centres that an entry sends requests beside, for when its own data centre is full. */
const FAR_AGENTS = 4;
/** Agents that tell entries of each other: any of them may be lost, and more would only repeat it. */
const DIRECTORY_AGENTS = 4;
const DIRECTORY_KEY = 'entry-directory';

/** The agents of one entry. */
export interface AgentSelection {
  /** All agents to be connected to. */
  agents: AgentAddress[];
  /** Boxes whose backend servers this entry sends requests to, and whose status it hears. */
  routed: ReadonlySet<string>;
  /** Boxes whose agents tell entries of each other: the same ones at every entry, so that each knows all others. */
  directory: ReadonlySet<string>;
}

/** Selects the agents of the entry `own` from those of each service. */
export function selectAgents(own: PlacedBox, services: readonly (readonly AgentAddress[])[]): AgentSelection {
  const all = services.flat();
  const directory = orderAcrossDataCentres(DIRECTORY_KEY, all).slice(0, DIRECTORY_AGENTS);
  const routed = services.flatMap((agents) => routedAgents(own, agents));
  const agents = new Map([...routed, ...directory].map((agent) => [agent.box, agent]));
  return {
    agents: [...agents.values()],
    routed: new Set(routed.map(({ box }) => box)),
    directory: new Set(directory.map(({ box }) => box)),
  };
}

/** Those of the own data centre, and a few others that differ from entry to entry. */
function routedAgents(own: PlacedBox, agents: readonly AgentAddress[]): readonly AgentAddress[] {
  if (agents.length <= MOST_AGENTS_FOR_ALL) return agents;
  const near = agents.filter((agent) => agent.dataCentre === own.dataCentre);
  const far = agents.filter((agent) => agent.dataCentre !== own.dataCentre);
  const nearest = rendezvousOrder(own.box, near, ({ box }) => box).slice(0, MOST_NEAR_AGENTS);
  const wantedFar = MOST_NEAR_AGENTS - nearest.length + FAR_AGENTS;
  return [...nearest, ...orderAcrossDataCentres(own.box, far).slice(0, wantedFar)];
}
