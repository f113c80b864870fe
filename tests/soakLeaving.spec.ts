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

/** Returns the breaches of one request that was sent right after the signal, changed by `changes`. */
function breachesOf(changes: Partial<LeavingRequest>, count = 1, hasRun = true, hasFault = false): number {
  const checks = new LeavingChecks();
  const times = { sentAt: 0, endedAt: 1_000, deadlineMilliseconds: 4_000, killedAt: 3_000 };
  const request = { id: 'a', entry: 'entry', end: 'whole', reason: '', longestMilliseconds: 1_000 } as const;
  for (let sent = 0; sent < count; sent++) checks.onEnded({ ...times, ...request, ...changes });
  let breaches = 0;
  checks.check({ hasRun: () => hasRun, overlapsFault: () => hasFault }, () => breaches++);
  return breaches;
}

test('should report a request that a leaving entry cuts, unless its deadline or a fault explains it', () => {
  expect(breachesOf({ end: 'cut' })).toEqual(1);
  expect(breachesOf({ end: 'cut', deadlineMilliseconds: 1_000 })).toEqual(0);
  expect(breachesOf({ end: 'cut', endedAt: 100 }, 1, false)).toEqual(0);
  expect(breachesOf({ end: 'cut', endedAt: 100 }, 1, true)).toEqual(1);
  expect(breachesOf({ end: 'cut' }, 1, true, true)).toEqual(0);
});

test('should report late rejections, and rejections of what could end in time', () => {
  const rejected = { end: 'rejected', reason: 'leaving' } as const;
  expect(breachesOf(rejected)).toEqual(1);
  expect(breachesOf({ ...rejected, endedAt: 100 })).toEqual(0);
  expect(breachesOf({ ...rejected, endedAt: 100 }, 20)).toEqual(1);
  expect(breachesOf({ ...rejected, endedAt: 100, longestMilliseconds: 2_000 }, 20)).toEqual(0);
});
