/** Short soaks with fixed seeds, in which servers end answers in odd ways while processes are killed. */
import { test } from 'node:test';
import { expect } from 'earl';
import { shortSoak } from './fixtures/shortSoak.js';

/** Guards against parts of answers that callers take for whole ones, and whole answers that fail. */
test('should pass on only whole answers as whole while entries are killed', async () => {
  const report = await shortSoak({
    seed: 3,
    size: { entries: 3, modelBoxes: 4, plainServers: 3 },
    callers: 8,
    network: 83,
    kinds: ['odd-answer-ends', 'odd-answer-ends', 'kill-entry', 'crash-server'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(100);
});
