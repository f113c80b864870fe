/** Measures the cost of a routing decision. */
import type { Backend } from '../src/routing/backend.js';
import { BoxLoad } from '../src/routing/backend.js';
import { chooseBackend } from '../src/routing/backendChoice.js';
import { SeededRandom } from '../src/utils/random.js';
import { printLine } from './benchLine.js';

const BACKENDS = 2_900;
const DECISIONS = 100_000;
const DATA_CENTRES = 5;

function backend(index: number): Backend {
  return {
    box: `box-${index}`,
    dataCentre: `data-centre-${index % DATA_CENTRES}`,
    address: '127.0.0.1',
    httpPort: 1,
    incarnation: 'i',
    version: 'v1',
    rollout: 'r1',
    capacity: 8,
    load: new BoxLoad(),
    lost: new AbortController().signal,
  };
}

/**
 * Chooses among 2,900 boxes of one configuration in five data centres, each time with a prompt prefix for affinity.
 */
export async function benchDecisions(): Promise<void> {
  const all = Array.from({ length: BACKENDS }, (_none, index) => backend(index));
  const pool = {
    sameDataCentre: all.filter((each) => each.dataCentre === 'data-centre-0'),
    otherDataCentres: all.filter((each) => each.dataCentre !== 'data-centre-0'),
  };
  const random = new SeededRandom(1);
  const start = performance.now();
  for (let decision = 0; decision < DECISIONS; decision++) {
    chooseBackend(pool, { affinity: `prefix-${decision % 997}`, allows: () => true, now: decision }, random);
  }
  const microseconds = ((performance.now() - start) * 1000) / DECISIONS;
  const conditions = `${BACKENDS} backend servers of one configuration in ${DATA_CENTRES} data centres, ${DECISIONS} decisions`;
  printLine({
    name: 'route.decision.microseconds',
    value: microseconds,
    unit: 'microseconds',
    baseline: null,
    conditions,
  });
}
