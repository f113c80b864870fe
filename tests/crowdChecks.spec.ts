/** The checks of a soak with crowds of clients. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { Call } from '../soak/callerLog.js';
import { CrowdChecks } from '../soak/crowdChecks.js';
import type { CrowdLimits } from '../soak/fleetOptions.js';

const AMPLE: CrowdLimits = { memoryMegabytes: 100_000, descriptors: 100_000, bodyBytes: 1 };

/** Returns what the checks report of this process, used as an entry, and of a crowd beside these calls. */
function breachesOf(
  limits: Partial<CrowdLimits>,
  calls: readonly Partial<Call>[],
  isExcused = false,
): string {
  const checks = new CrowdChecks({ ...AMPLE, ...limits });
  checks.sample([{ name: 'entry', processId: process.pid }]);
  const endCrowd = checks.onCrowd('idle', 'entry');
  const sentAt = Date.now();
  endCrowd();
  const breaches: string[] = [];
  const context = {
    calls: calls.map((call) => ({ sentAt, ...call }) as Call),
    overlapsFault: () => isExcused,
  };
  checks.check(context, (promise, what) => breaches.push(`${promise} ${what}`));
  return breaches.join();
}

test('should report an entry that takes more memory or descriptors than its settings name', () => {
  expect(breachesOf({ memoryMegabytes: 1 }, [{ outcome: 'whole' }])).toInclude('of 1 MB');
  expect(breachesOf({ descriptors: 1 }, [{ outcome: 'whole' }])).toInclude('of 1 descriptors');
  expect(breachesOf({}, [{ outcome: 'whole' }])).toEqual('');
});

test('should report a crowd beside which no caller gets an answer, unless a fault excuses it', () => {
  const calls = [{ outcome: 'refused' }, { outcome: 'whole', sentAt: 0 }] as const;
  expect(breachesOf({}, calls)).toInclude('crowded no caller got an answer');
  expect(breachesOf({}, calls, true)).toEqual('');
});
