import type { Distribution } from '../protocol/rolloutMessages.js';
import { ChainTopology } from './chainTopology.js';
import { DirectTopology } from './directTopology.js';
import { ExchangeTopology } from './exchangeTopology.js';
import type { TopologyPolicy } from './topology.js';

const POLICIES: Record<Distribution, TopologyPolicy> = {
  direct: new DirectTopology(),
  chain: new ChainTopology(),
  exchange: new ExchangeTopology(),
};

/** Returns the topology policy for the `distribution` of a plan. */
export function topologyPolicy(distribution: Distribution): TopologyPolicy {
  return POLICIES[distribution];
}
