/** Tracking of how long the origin has not answered. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { Origin } from '../src/external/origin.js';
import { WatchedOrigin } from '../src/staging/watchedOrigin.js';
import { EventLog } from '../src/telemetry/eventLog.js';
import { ManualClock } from '../src/utils/clock.js';

const RANGE = { customer: '', model: 'm', version: '1', offset: 0, length: 1 };

function watched(origin: Origin): { origin: WatchedOrigin; clock: ManualClock; steps: string[] } {
  const steps: string[] = [];
  const sink = { write: (line: string) => void steps.push((JSON.parse(line) as { step: string }).step) };
  const clock = new ManualClock();
  return { origin: new WatchedOrigin(origin, clock, new EventLog(sink, 'state')), clock, steps };
}

test('should log once that the origin is lost and once that it is back, and measure the time', async () => {
  let fails = true;
  const { origin, clock, steps } = watched({
    manifest: async (_customer, model, version) => {
      if (fails) throw new Error('reset');
      return { model, version, chunks: [] };
    },
    read: async () => await Promise.reject(new Error('reset')),
  });
  await expect(origin.manifest('', 'm', '1')).toBeRejectedWith('reset');
  clock.advance(500);
  await expect(origin.read(RANGE, new AbortController().signal)).toBeRejectedWith('reset');
  expect([origin.lostFor, steps]).toEqual([500, ['origin.lost']]);
  fails = false;
  await origin.manifest('', 'm', '1');
  expect([origin.lostFor, steps]).toEqual([0, ['origin.lost', 'origin.reached']]);
});

test('should not count a read that was aborted here as a failure of the origin', async () => {
  const abort = new AbortController();
  abort.abort();
  const { origin, steps } = watched({
    manifest: async () => await Promise.reject(new Error('not used')),
    read: async () => await Promise.reject(new Error('aborted')),
  });
  await expect(origin.read(RANGE, abort.signal)).toBeRejectedWith('aborted');
  expect(steps).toEqual([]);
});
