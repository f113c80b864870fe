/** Short soaks with fixed seeds, in which callers go on sending streams of many lengths to entries that leave. */
import { test } from 'node:test';
import { expect } from 'earl';
import { LeavingChecks } from '../soak/leavingChecks.js';
import type { LeavingRequest } from '../soak/leavingChecks.js';
import { shortSoak } from './fixtures/shortSoak.js';

const SIZE = { entries: 4, modelBoxes: 6, plainServers: 2 };

/** Guards against entries that take streams which they cut off when they close, or that reject all of them. */
test('should end what leaving entries take, and reject the rest at once', async () => {
  const report = await shortSoak({
    seed: 2,
    size: SIZE,
    network: 76,
    graceSeconds: 6,
    plannedOnly: true,
    kinds: ['leave-amid-streams'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.leaving.whole).toBeGreaterThan(20);
});

test('should end what leaving entries take amid reloads, configurations and versions', async () => {
  const report = await shortSoak({
    seed: 2,
    size: SIZE,
    network: 77,
    plannedOnly: true,
    kinds: ['leave-amid-streams', 'reload', 'configure', 'name-weights', 'replace-server'],
  });
  expect(report.breaches).toEqual([]);
});

/** Guards against cutting off what became slower after it was taken. */
test('should end what leaving entries take while servers become slower or stand still', async () => {
  for (const seed of [1, 4]) {
    const kinds = ['slow-amid-leaving'] as const;
    const report = await shortSoak({
      seed,
      seconds: 8,
      size: SIZE,
      network: 81,
      graceSeconds: 6,
      plannedOnly: true,
      kinds,
    });
    expect(report.breaches).toEqual([]);
    expect(report.leaving.whole).toBeGreaterThan(20);
  }
});

/** Returns the breaches of one request that was sent right after the signal, changed by `changes`. */
function breachesOf(changes: Partial<LeavingRequest>, hasRun = true, hasFault = false): number {
  const checks = new LeavingChecks();
  const times = { sentAt: 0, endedAt: 1_000, deadlineMilliseconds: 4_000, killedAt: 3_000 };
  const request = { id: 'a', entry: 'entry', end: 'whole', reason: '' } as const;
  checks.onEnded({ ...times, ...request, ...changes });
  let breaches = 0;
  checks.check({ hasRun: () => hasRun, overlapsFault: () => hasFault }, () => breaches++);
  return breaches;
}

test('should report a request that a leaving entry cuts, unless its deadline or a fault explains it', () => {
  expect(breachesOf({ end: 'cut' })).toEqual(1);
  expect(breachesOf({ end: 'cut', deadlineMilliseconds: 1_000 })).toEqual(0);
  expect(breachesOf({ end: 'cut', endedAt: 100 }, false)).toEqual(0);
  expect(breachesOf({ end: 'cut', endedAt: 100 }, true)).toEqual(1);
  expect(breachesOf({ end: 'cut' }, true, true)).toEqual(0);
  const atClose = { end: 'cut', endedAt: 2_800, deadlineMilliseconds: 15_000 } as const;
  expect(breachesOf({ ...atClose, sentAt: 100 })).toEqual(0);
  expect(breachesOf({ ...atClose, sentAt: 300 })).toEqual(1);
  expect(breachesOf({ ...atClose, sentAt: 100, endedAt: 2_000 })).toEqual(1);
});

test('should report late rejections, and rejections of what its deadline ends in time', () => {
  const rejected = { end: 'rejected', reason: 'leaving' } as const;
  expect(breachesOf(rejected)).toEqual(1);
  expect(breachesOf({ ...rejected, endedAt: 100 })).toEqual(0);
  expect(breachesOf({ ...rejected, endedAt: 100, deadlineMilliseconds: 2_000 })).toEqual(1);
  expect(breachesOf({ ...rejected, endedAt: 100, deadlineMilliseconds: 2_300 })).toEqual(0);
});
