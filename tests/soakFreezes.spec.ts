/**
 * Short soaks with fixed seeds, in which boxes freeze, agent and server together, while staged chunks are corrupted
 * between the agent's check and the moment at which the server takes them.
 */
import { test } from 'node:test';
import { expect } from 'earl';
import { shortSoak } from './fixtures/shortSoak.js';

test('should serve no layers from corrupt chunks while boxes freeze between check and order', async () => {
  const report = await shortSoak({ seed: 71001, network: 78, kinds: ['freeze-amid-load'] });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});

test('should serve no layers from corrupt chunks while boxes freeze and processes are killed', async () => {
  const report = await shortSoak({
    seed: 71012,
    network: 79,
    kinds: ['freeze-amid-load', 'freeze-amid-load', 'kill-agent', 'kill-entry', 'rot-chunks'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
});
