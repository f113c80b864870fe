/** Short soaks with fixed seeds, in which the store is rolled back to an older snapshot. */
import { test } from 'node:test';
import { expect } from 'earl';
import { shortSoak } from './fixtures/shortSoak.js';

const SIZE = { entries: 4, modelBoxes: 4, plainServers: 3 };

test('should obey records from before and after a rollback of the store', async () => {
  const report = await shortSoak({
    seed: 71,
    size: SIZE,
    callers: 10,
    network: 49,
    kinds: ['roll-back-store', 'replace-server', 'configure', 'kill-entry'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});

test('should reject requests that crash servers although a rollback removed the records about them', async () => {
  const report = await shortSoak({
    seed: 72,
    size: SIZE,
    callers: 10,
    network: 50,
    kinds: ['roll-back-store', 'crashing-request'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});
