/** A short soak with a fixed seed, in which servers reset streams midway and are killed amid them, and its checks. */
import { test } from 'node:test';
import { expect } from 'earl';
import { StreamChecks } from '../soak/streamChecks.js';
import type { ReceivedStream } from '../soak/streamReader.js';
import { eventText } from '../standins/platformAnswers.js';
import { shortSoak } from './fixtures/shortSoak.js';

/** Guards against streams that were cut and look complete, and events that come twice. */
test('should not pass on a stream that was reset as complete while servers and entries are killed', async () => {
  const report = await shortSoak({
    seed: 103,
    seconds: 3,
    size: { entries: 2, modelBoxes: 3, plainServers: 3 },
    network: 84,
    kinds: ['reset-amid-streams', 'reset-amid-streams', 'kill-entry', 'reload'],
  });
  expect(report.breaches).toEqual([]);
  expect(report.streams['whole']).toBeGreaterThan(10);
  expect(report.streams['cut']).toBeGreaterThan(10);
});

/** Returns what the checks report of a stream of three events. */
function orderBreach(numbers: readonly number[], end: ReceivedStream['end'], more = ''): string {
  const breaches: string[] = [];
  const checks = new StreamChecks((promise, what) => breaches.push(`${promise} ${what}`));
  const body = numbers.map((number) => eventText('a', number)).join('') + more;
  checks.onEnded({ id: 'a', entry: 'entry', events: 3, protocol: 'kept', status: 200, body, end });
  return breaches.join();
}

test('should report a stream that ends as complete before its last event', () => {
  expect(orderBreach([1, 2], 'whole')).toEqual(
    'order a at entry (kept): ends as complete after event 2 of 3',
  );
  expect(orderBreach([1, 2], 'whole', 'id: 3')).toInclude('ends as complete after event 2 of 3');
});

test('should report events that come twice or out of order', () => {
  expect(orderBreach([1, 2, 2], 'cut')).toInclude('behind event 2 of 3 comes');
  expect(orderBreach([2], 'cut')).toInclude('behind event 0 of 3 comes');
  expect(orderBreach([1, 2, 3, 3], 'whole')).toInclude('behind event 3 of 3 comes');
});

test('should accept complete streams and streams that look cut', () => {
  expect(orderBreach([1, 2, 3], 'whole')).toEqual('');
  expect(orderBreach([1], 'cut', 'id: ')).toEqual('');
});
