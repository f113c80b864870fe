/**
 * Selects the agents that an entry connects to: few, so that its cost does not grow with the number of boxes.
 * Pure functions.
 */
import type { AgentAddress } from '../protocol/boxMessages.js';
import type { PlacedBox } from '../utils/dataCentreOrder.js';
import { orderAcrossDataCentres } from '../utils/dataCentreOrder.js';
import { rendezvousOrder } from '../utils/rendezvous.js';

/** An entry connects to all agents of a service up to this number. */
const MAX_AGENTS_FOR_ALL = 40;
/**
 * Number of agents in its own data centre that an entry connects to. With 29 servers and 20 entries in a data centre,
 * a server reports its load to 8 entries, and each entry sends to its servers often enough to keep connections open.
 */
const MAX_OWN_DATA_CENTRE_AGENTS = 12;
/** Number of agents in other data centres whose servers get requests when those of the own data centre are full. */
const OTHER_DATA_CENTRE_AGENTS = 4;
/**
 * Number of agents that tell entries which other entries exist: enough for redundancy, while more would repeat the
 * same lists.
 */
const DIRECTORY_AGENTS = 4;
const DIRECTORY_KEY = 'entry-directory';

/** The agents that one entry uses. */
export interface AgentSelection {
  /** All agents to connect to. */
  agents: AgentAddress[];
  /** Boxes whose backend servers this entry sends requests to, and whose status it receives. */
  routed: ReadonlySet<string>;
  /** Boxes whose agents report the connected entries: the same for all entries, so that each learns of all others. */
  directory: ReadonlySet<string>;
}

/** Selects the agents of the entry `own` from the agents of each service. */
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

/** Selects agents in the own data centre and a few in others; the choice differs from entry to entry. */
function routedAgents(own: PlacedBox, agents: readonly AgentAddress[]): readonly AgentAddress[] {
  if (agents.length <= MAX_AGENTS_FOR_ALL) return agents;
  const ownDataCentre = agents.filter((agent) => agent.dataCentre === own.dataCentre);
  const otherDataCentres = agents.filter((agent) => agent.dataCentre !== own.dataCentre);
  const selected = rendezvousOrder(own.box, ownDataCentre, ({ box }) => box).slice(
    0,
    MAX_OWN_DATA_CENTRE_AGENTS,
  );
  const otherCount = MAX_OWN_DATA_CENTRE_AGENTS - selected.length + OTHER_DATA_CENTRE_AGENTS;
  return [...selected, ...orderAcrossDataCentres(own.box, otherDataCentres).slice(0, otherCount)];
}
