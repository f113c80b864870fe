/** Short soaks with fixed seeds, of a store that is rolled back. */
import { test } from 'node:test';
import { expect } from 'earl';
import { shortSoak } from './fixtures/shortSoak.js';

const SIZE = { entries: 4, modelBoxes: 4, plainServers: 3 };

test('should keep what was said before and after the store was rolled back', async () => {
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

test('should keep requests that end servers from them though the store has forgotten them', async () => {
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
