/** Short soaks with fixed seeds, in which crowds of clients stop short or read nothing. They need the machine to themselves. */
import { test } from 'node:test';
import { expect } from 'earl';
import { shortSoak } from '../fixtures/shortSoak.js';

/** Guards against entries that run out of memory because clients keep them waiting or do not read their answers. */
for (const [what, seed, shape] of [
  ['stop just short of the end of their bodies', 21, 'one-byte-chunks'],
  ['do not read the answers to requests sent ahead', 25, 'unread-answers'],
] as const) {
  test(`should stay within the memory of its settings while crowds of clients ${what}`, async () => {
    const report = await shortSoak({ seed, seconds: 3, network: 85, kinds: ['client-crowd'] });
    expect(report.breaches).toEqual([]);
    expect(report.crowds[shape]).toEqual(1);
    expect(report.served).toBeGreaterThan(50);
  });
}
