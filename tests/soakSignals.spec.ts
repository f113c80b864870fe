/** Short soaks with fixed seeds, in which servers send limits, drain notices and Retry-After in their answers. */
import { test } from 'node:test';
import { expect } from 'earl';
import { shortSoak } from './fixtures/shortSoak.js';

const SIZE = { entries: 4, modelBoxes: 4, plainServers: 3 };

test('should obey the limits of servers over all entries together while some entries restart', async () => {
  const report = await shortSoak({
    seed: 61,
    size: SIZE,
    callers: 10,
    network: 47,
    kinds: ['limit-server', 'limit-server', 'kill-entry', 'stop-entry', 'configure'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});

test('should send no requests to servers that announce a drain only in their answers, or reject with Retry-After', async () => {
  const report = await shortSoak({
    seed: 62,
    size: SIZE,
    callers: 24,
    network: 48,
    kinds: ['leave-by-answers', 'reject-with-retry-after', 'configure'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});

test('should obey the rate of cold servers over all entries together while some entries restart', async () => {
  const report = await shortSoak({
    seed: 63,
    size: SIZE,
    callers: 24,
    network: 72,
    kinds: ['turn-cold', 'turn-cold', 'kill-entry', 'stop-entry', 'configure'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});
