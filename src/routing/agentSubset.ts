/** Which agents an entry keeps connected, when there are too many for all. Pure. */
import { SeededRandom, shuffled } from '../utils/random.js';
import { compareText } from '../utils/rendezvous.js';

/**
 * Deterministic subsets: entries are dealt rounds; in each round the agents stand in another fixed order and every
 * entry of the round gets the next `size` of them. Every agent is in as many subsets as any other, give or take one
 * per round, and a round covers all agents when it holds enough entries.
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
