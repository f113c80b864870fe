/** Short soaks with fixed seeds, in which servers restart under their ids. */
import { test } from 'node:test';
import { expect } from 'earl';
import { FAULT_KINDS } from '../soak/faultKinds.js';
import { shortSoak } from './fixtures/shortSoak.js';

/** Kinds of the last test: with other kinds its seed would select another sequence of faults. */
const KINDS_OF_SEED = FAULT_KINDS.filter(
  (kind) =>
    ![
      'restart-amid-versions',
      'crashing-request',
      'lose-writes',
      'lose-power',
      'limit-server',
      'leave-by-answers',
      'reject-with-retry-after',
      'turn-cold',
      'harmful-part',
      'turn-part-harmful',
      'freeze-amid-load',
      'odd-answer-ends',
      'reset-amid-streams',
      'client-crowd',
    ].includes(kind),
);

test('should keep all promises while servers restart under their ids and others write invalid records', async () => {
  const report = await shortSoak({
    seed: 11,
    network: 43,
    kinds: ['restart-server', 'restart-server', 'foreign-records', 'name-weights', 'kill-agent', 'configure'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});

test('should not let a server mix chunks of two versions when it restarts during a transfer', async () => {
  const report = await shortSoak({
    seed: 21,
    network: 44,
    kinds: ['restart-amid-versions'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});

test('should not send orders to a restarted server based on what was read before its restart', async () => {
  const report = await shortSoak({
    seed: 1006,
    seconds: 12,
    size: { entries: 3, modelBoxes: 6, plainServers: 3 },
    callers: 10,
    network: 71,
    kinds: KINDS_OF_SEED,
  });
  expect(report.breaches).toEqual([]);
});
