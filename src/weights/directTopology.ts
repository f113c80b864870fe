/** A baseline for comparison: every box fetches every chunk from the origin. */
import type { Member } from '../protocol/rolloutMessages.js';
import type { Topology, TopologyPolicy } from './topology.js';

export class DirectTopology implements TopologyPolicy {
  topologyOf(): Topology {
    return { neighbours: [], importers: () => [] };
  }

  initialOriginFetches(missing: readonly number[], members: readonly Member[]): Map<string, number[]> {
    return new Map(members.map((member) => [member.box, [...missing]]));
  }
}
