/** Selects the agents that an entry connects to when there are too many to connect to all of them. Pure functions. */
import { SeededRandom, shuffled } from '../utils/random.js';
import { compareText } from '../utils/rendezvous.js';

/**
 * Deterministic subsetting. Sorted entries are grouped into rounds; each round shuffles the agents with its own fixed
 * seed, and every entry of the round gets the next `size` of them. Within a round each agent is in at most one subset
 * more than any other agent, and a full round covers all agents.
 */
export function agentSubset(
  entry: string,
  entries: readonly string[],
  agents: readonly string[],
  size: number,
): string[] {
  if (agents.length <= size) return [...agents];
  const position = [...entries].sort(compareText).indexOf(entry);
  if (position < 0) return [];
  const perRound = Math.ceil(agents.length / size);
  const round = Math.floor(position / perRound);
  const ordered = shuffled([...agents].sort(compareText), new SeededRandom(round + 1));
  const start = (position % perRound) * size;
  return Array.from({ length: size }, (_unused, offset) => ordered[(start + offset) % agents.length]);
}
