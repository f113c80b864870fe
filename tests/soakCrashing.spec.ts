/**
 * A short soak with a fixed seed, in which requests crash every server that runs them. Entries must continue to
 * reject these requests, although they may lose what they know about them by restarts and lost writes.
 */
import { test } from 'node:test';
import { expect } from 'earl';
import { shortSoak } from './fixtures/shortSoak.js';

test('should reject requests that crash servers while entries restart and writes are lost', async () => {
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

test('should reject requests with a harmful part of their prompts while entries restart and writes are lost', async () => {
  const report = await shortSoak({
    seed: 32,
    size: { entries: 3, modelBoxes: 6, plainServers: 2 },
    network: 53,
    kinds: ['harmful-part', 'kill-entry', 'lose-writes'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.crashing.requests).toBeGreaterThan(0);
  expect(report.served).toBeGreaterThan(50);
});
