/** A short soak with a fixed seed, of requests that end each server which runs them, and of all that entries may forget meanwhile. */
import { test } from 'node:test';
import { expect } from 'earl';
import { shortSoak } from './fixtures/shortSoak.js';

test('should keep requests that end servers from them while entries start again and writes are lost', async () => {
  const report = await shortSoak({
    seed: 31,
    size: { entries: 3, modelBoxes: 6, plainServers: 2 },
    network: 45,
    kinds: ['crashing-request', 'kill-entry', 'lose-writes'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.crashing.requests).toBeGreaterThan(0);
  expect(report.served).toBeGreaterThan(50);
});
