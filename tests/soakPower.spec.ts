/**
 * A short soak with a fixed seed, in which boxes lose power during transfers. Their dead connections stay open at
 * the origin, which accepts only few. This must not block later transfers.
 */
import { test } from 'node:test';
import { expect } from 'earl';
import { shortSoak } from './fixtures/shortSoak.js';

test('should transfer versions to boxes that lose power repeatedly', async () => {
  const report = await shortSoak({
    seed: 51,
    size: { entries: 2, modelBoxes: 8, plainServers: 2 },
    network: 46,
    kinds: ['lose-power'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});
