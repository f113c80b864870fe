/** Baseline: boxes in a row, data centre after data centre; the first draws from the origin and each feeds the next. */
import type { Member } from '../protocol/rolloutMessages.js';
import { compareText } from '../utils/rendezvous.js';
import type { Neighbour, Topology, TopologyPolicy } from './topology.js';

export class ChainTopology implements TopologyPolicy {
  topologyOf(box: string, members: readonly Member[]): Topology {
    const row = inRow(members);
    const position = row.findIndex((member) => member.box === box);
    const ends = [row[position - 1], row[position + 1]].filter((member) => member !== undefined);
    const neighbours: Neighbour[] = ends.map((member) => ({
      member,
      crossDataCentre: member.dataCentre !== row[position].dataCentre,
    }));
    return { neighbours, importers: () => undefined };
  }

  initialOriginFetches(missing: readonly number[], members: readonly Member[]): Map<string, number[]> {
    return new Map([[inRow(members)[0].box, [...missing]]]);
  }
}

function inRow(members: readonly Member[]): Member[] {
  return [...members].sort((a, b) => compareText(`${a.dataCentre}/${a.box}`, `${b.dataCentre}/${b.box}`));
}
