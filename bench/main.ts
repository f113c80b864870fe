/**
 * `npm run bench [-- PART ...]`: runs the given parts, or all, and prints each result as a line of JSON. Parts:
 * decisions, rollout, switches, share, requests, control, costs.
 */
import { benchControl } from './controlBench.js';
import { benchCosts } from './costBench.js';
import { benchDecisions } from './decisionBench.js';
import { benchRequests } from './requestBench.js';
import { benchRollout } from './rolloutBench.js';
import { benchShare } from './shareBench.js';
import { benchSwitches } from './switchBench.js';

const PARTS: Record<string, () => Promise<void>> = {
  decisions: benchDecisions,
  rollout: benchRollout,
  switches: benchSwitches,
  share: benchShare,
  requests: benchRequests,
  control: benchControl,
  costs: benchCosts,
};

const wanted = process.argv.slice(2);
for (const [name, run] of Object.entries(PARTS)) {
  if (wanted.length === 0 || wanted.includes(name)) await run();
}
