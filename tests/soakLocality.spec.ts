/** A short soak with evacuations, and unit tests of its checks of where requests run. */
import { test } from 'node:test';
import { expect } from 'earl';
import { LocalityChecks } from '../soak/localityChecks.js';
import { shortSoak } from './fixtures/shortSoak.js';

test('should keep requests out of evacuated data centres, while entries stop and the store is rolled back', async () => {
  const report = await shortSoak({
    seed: 91,
    size: { entries: 3, modelBoxes: 3, plainServers: 6 },
    network: 52,
    kinds: ['evacuate', 'stop-entry', 'configure', 'roll-back-store'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.served).toBeGreaterThan(50);
  expect(report.ranAtHome).toBeGreaterThan(20);
});

/** Guards against checks that never report anything. */
test('should report requests outside of home regions and in evacuated data centres, and entries that may not be named', () => {
  const checks = new LocalityChecks();
  const now = Date.now();
  checks.onEvacuation('south');
  checks.onExecution({ id: 'a', path: '/home/x', at: now }, 'north');
  checks.onExecution({ id: 'b', path: '/home/x', at: now + 2_000 }, 'south');
  checks.onExecution({ id: 'c', path: '/boards/x', at: now + 2_600 }, 'south');
  for (const [zone, callerZone] of [
    ['north', 'north'],
    ['south', 'north'],
    ['north', 'south'],
  ])
    checks.onNamed(zone, callerZone);
  const reported = (isExcused: boolean): string[] => {
    const promises: string[] = [];
    checks.check(
      { isExcused: () => isExcused },
      (promise, what) => void promises.push(`${promise} ${what.slice(0, 5)}`),
    );
    return promises;
  };
  expect(reported(false)).toEqual(['home a ran', 'home the d', 'evacuated c sta']);
  expect(reported(true)).toEqual(['home a ran', 'home the d']);
});
