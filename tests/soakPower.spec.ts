/** A short soak with a fixed seed, of boxes that lose their power while versions come from an origin that takes few connections. */
import { test } from 'node:test';
import { expect } from 'earl';
import { shortSoak } from './fixtures/shortSoak.js';

test('should bring versions to boxes that have lost their power time after time', async () => {
  const report = await shortSoak({
    seed: 51,
    size: { entries: 2, modelBoxes: 8, plainServers: 2 },
    network: 46,
    kinds: ['lose-power'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});
