/** Choice of boxes and entries, with delayed load reports and failing boxes. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { Backend } from '../src/routing/backend.js';
import { BoxLoad } from '../src/routing/backend.js';
import { chooseBackend } from '../src/routing/backendChoice.js';
import { CircuitBreaker } from '../src/routing/circuitBreaker.js';
import { orderEntries } from '../src/routing/entryOrder.js';
import { agentSubset } from '../src/routing/agentSubset.js';
import { preferVersion } from '../src/routing/versionPreference.js';
import { RetryBudget } from '../src/requests/retryBudget.js';
import { ManualClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';

function backend(box: string, dataCentre = 'near', rollout = 'r1'): Backend {
  const place = { address: '127.0.0.1', httpPort: 1, incarnation: 'i', version: 'v', capacity: 10 };
  return { ...place, box, dataCentre, rollout, load: new BoxLoad(), lost: new AbortController().signal };
}

const random = new SeededRandom(1);
const anyBox = { affinity: '', allows: () => true, now: 0 };

test('should choose a box of the own data centre while it has capacity', () => {
  const pool = { sameDataCentre: [backend('a'), backend('b')], otherDataCentres: [backend('far', 'far')] };
  for (let turn = 0; turn < 50; turn++)
    expect(chooseBackend(pool, anyBox, random)?.backend.dataCentre).toEqual('near');
});

test('should choose another data centre when the own one is full', () => {
  const full = backend('a');
  full.load.outstanding = 16;
  const choice = chooseBackend(
    { sameDataCentre: [full], otherDataCentres: [backend('far', 'far')] },
    anyBox,
    random,
  );
  expect(choice?.backend.box).toEqual('far');
});

test('should choose another data centre when no box of the own one may be chosen', () => {
  const pool = { sameDataCentre: [backend('a')], otherDataCentres: [backend('far', 'far')] };
  const choice = chooseBackend(pool, { ...anyBox, allows: (box) => box !== 'a' }, random);
  expect(choice?.backend.box).toEqual('far');
});

test('should keep requests with one prefix on one box until it is much busier than others', () => {
  const pool = { sameDataCentre: ['a', 'b', 'c', 'd'].map((box) => backend(box)), otherDataCentres: [] };
  const request = { ...anyBox, affinity: 'customer-and-prefix' };
  const first = chooseBackend(pool, request, random)!;
  for (let turn = 0; turn < 20; turn++)
    expect(chooseBackend(pool, request, random)?.backend).toEqual(first.backend);
  first.backend.load.outstanding = 14;
  expect(chooseBackend(pool, request, random)?.backend === first.backend).toEqual(false);
});

test('should balance by its own count of outstanding requests while reports lag', () => {
  const boxes = ['a', 'b', 'c', 'd'].map((box) => backend(box));
  for (let request = 0; request < 400; request++) {
    chooseBackend({ sameDataCentre: boxes, otherDataCentres: [] }, anyBox, random)!.backend.load
      .outstanding++;
  }
  const counts = boxes.map((box) => box.load.outstanding);
  expect(Math.max(...counts) - Math.min(...counts) <= 10).toEqual(true);
});

test('should give a report less weight as it ages', () => {
  const load = new BoxLoad();
  load.report(8, 0);
  expect(load.estimate(0)).toEqual(8);
  expect(load.estimate(300)).toEqual(8);
  expect(load.estimate(1_300)).toEqual(4);
  expect(load.estimate(60_000) < 0.01).toEqual(true);
});

test('should open a circuit after failures and let requests through again later', () => {
  const clock = new ManualClock();
  clock.advance(1);
  const circuit = new CircuitBreaker(clock);
  for (let failure = 0; failure < 3; failure++) circuit.recordFailure();
  expect(circuit.allowsRequests).toEqual(false);
  clock.advance(500);
  expect(circuit.allowsRequests).toEqual(true);
  circuit.recordFailure();
  expect(circuit.allowsRequests).toEqual(false);
  clock.advance(1_000);
  circuit.recordSuccess();
  expect(circuit.allowsRequests).toEqual(true);
});

test('should limit retries to a fraction of the requests', () => {
  const clock = new ManualClock();
  const budget = new RetryBudget(clock);
  let retries = 0;
  for (let request = 0; request < 1_000; request++) {
    budget.onRequest();
    if (budget.takeRetry()) retries++;
  }
  expect(retries <= 120).toEqual(true);
});

test('should use boxes on the old version until enough have confirmed the new one', () => {
  const boxes = ['a', 'b', 'c', 'd'].map((box) => backend(box));
  boxes[0].rollout = 'r2';
  expect(preferVersion(boxes, 'r2').length).toEqual(4);
  boxes[1].rollout = 'r2';
  expect(preferVersion(boxes, 'r2').map((box) => box.box)).toEqual(['a', 'b']);
});

test('should cover all agents evenly with the subsets of the entries', () => {
  const entries = Array.from({ length: 530 }, (_none, index) => `entry-${index}`);
  const agents = Array.from({ length: 2_900 }, (_none, index) => `agent-${index}`);
  const counts = new Map<string, number>(agents.map((agent) => [agent, 0]));
  for (const entry of entries) {
    const subset = agentSubset(entry, entries, agents, 64);
    expect(new Set(subset).size).toEqual(64);
    for (const agent of subset) counts.set(agent, counts.get(agent)! + 1);
  }
  const values = [...counts.values()];
  expect(Math.min(...values) >= 8).toEqual(true);
  expect(Math.max(...values) <= 16).toEqual(true);
});

test('should order entries by data centre and spread callers within it', () => {
  const box = { role: 'entry' as const, address: '127.0.0.1', controlPort: 1, state: 'live' as const };
  const entries = ['a', 'b'].flatMap((dataCentre) =>
    [1, 2, 3].map((number) => ({ ...box, box: `${dataCentre}-${number}`, dataCentre, httpPort: number })),
  );
  const firsts = Array.from(
    { length: 60 },
    (_none, asker) => orderEntries(entries, 'b', `asker-${asker}`)[0],
  );
  expect(firsts.every((entry) => entry.dataCentre === 'b')).toEqual(true);
  expect(new Set(firsts.map((entry) => entry.url)).size).toEqual(3);
  expect(orderEntries(entries, 'b', 'asker').length).toEqual(6);
});
