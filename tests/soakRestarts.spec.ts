/** Short soaks with fixed seeds, of servers that start again under their ids. */
import { test } from 'node:test';
import { expect } from 'earl';
import { FAULT_KINDS } from '../soak/faultKinds.js';
import { shortSoak } from './fixtures/shortSoak.js';

/** What the seed draws from that is older than the last kinds. */
const EARLIER_KINDS = FAULT_KINDS.filter(
  (kind) =>
    ![
      'restart-amid-versions',
      'crashing-request',
      'lose-writes',
      'lose-power',
      'limit-server',
      'leave-by-answers',
      'reject-with-retry-after',
    ].includes(kind),
);

test('should keep all promises while servers start again under their ids and others write entries', async () => {
  const report = await shortSoak({
    seed: 11,
    network: 43,
    kinds: ['restart-server', 'restart-server', 'foreign-records', 'name-weights', 'kill-agent', 'configure'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});

test('should let no server take chunks of two versions while servers start again amid versions', async () => {
  const report = await shortSoak({
    seed: 21,
    network: 44,
    kinds: ['restart-amid-versions'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});

test('should order no server anew by what was read from its former life', async () => {
  const report = await shortSoak({
    seed: 1006,
    seconds: 12,
    size: { entries: 3, modelBoxes: 6, plainServers: 3 },
    callers: 10,
    network: 71,
    kinds: EARLIER_KINDS,
  });
  expect(report.breaches).toEqual([]);
});
