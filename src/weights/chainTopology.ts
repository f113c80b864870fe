/**
 * A baseline for comparison: all boxes form a chain, ordered by data centre. The first box fetches from the origin,
 * and each box from its neighbours.
 */
import type { Member } from '../protocol/rolloutMessages.js';
import { compareText } from '../utils/rendezvous.js';
import type { Neighbour, Topology, TopologyPolicy } from './topology.js';

export class ChainTopology implements TopologyPolicy {
  topologyOf(box: string, members: readonly Member[]): Topology {
    const chain = chainOrder(members);
    const position = chain.findIndex((member) => member.box === box);
    const adjacent = [chain[position - 1], chain[position + 1]].filter((member) => member !== undefined);
    const neighbours: Neighbour[] = adjacent.map((member) => ({
      member,
      crossDataCentre: member.dataCentre !== chain[position].dataCentre,
    }));
    return { neighbours, importers: () => undefined };
  }

  initialOriginFetches(missing: readonly number[], members: readonly Member[]): Map<string, number[]> {
    return new Map([[chainOrder(members)[0].box, [...missing]]]);
  }
}

function chainOrder(members: readonly Member[]): Member[] {
  return [...members].sort((a, b) => compareText(`${a.dataCentre}/${a.box}`, `${b.dataCentre}/${b.box}`));
}
