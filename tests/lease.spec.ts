/** Leases under pauses, outages and races: two entries, one object, a clock that the test moves. */
import { test } from 'node:test';
import { expect } from 'earl';
import { Replica } from '../src/configuration/replica.js';
import { ConditionalWriter } from '../src/configuration/conditionalWriter.js';
import { LeaseKeeper } from '../src/lease/leaseKeeper.js';
import { Logger } from '../src/telemetry/logger.js';
import { ManualClock } from '../src/utils/clock.js';
import { MemoryObjectApi } from './fixtures/memoryObjectApi.js';

const KEY = 'lease/studio/advisor';
const LIFETIME = 3_000;

interface Entry {
  lease: LeaseKeeper;
  replica: Replica;
}

interface Stage {
  api: MemoryObjectApi;
  clock: ManualClock;
  one: Entry;
  two: Entry;
}

function stage(): Stage {
  const api = new MemoryObjectApi();
  const clock = new ManualClock();
  const entry = (holder: string): Entry => {
    const replica = new Replica();
    const writer = new ConditionalWriter(api, replica);
    const logger = new Logger('test');
    return {
      replica,
      lease: new LeaseKeeper({
        key: KEY,
        holder,
        lifetimeMilliseconds: LIFETIME,
        replica,
        writer,
        clock,
        logger,
      }),
    };
  };
  return { api, clock, one: entry('one'), two: entry('two') };
}

/** What replication does in a fleet: the object as it stands reaches the entry. */
async function hear(api: MemoryObjectApi, entry: Entry): Promise<void> {
  const object = await api.get(KEY);
  if (object) entry.replica.apply({ ...object, deleted: false }, 'api');
}

test('should give the lease to one of two that ask at the same moment', async () => {
  const { one, two } = stage();
  await Promise.all([one.lease.tick(0), two.lease.tick(0)]);
  expect([one.lease.epoch, two.lease.epoch].filter((epoch) => epoch !== undefined)).toEqual([1]);
});

test('should not take a lease that is being renewed', async () => {
  const { api, clock, one, two } = stage();
  await one.lease.tick(0);
  for (let turn = 0; turn < 10; turn++) {
    clock.advance(LIFETIME / 2);
    await one.lease.tick(0);
    await hear(api, two);
    await two.lease.tick(0);
    expect(two.lease.epoch).toEqual(undefined);
  }
  expect(one.lease.epoch).toEqual(1);
});

test('should take over under a higher epoch once the holder is silent', async () => {
  const { api, clock, one, two } = stage();
  await one.lease.tick(0);
  await hear(api, two);
  await two.lease.tick(0);
  clock.advance(LIFETIME + 1);
  await two.lease.tick(0);
  expect(two.lease.epoch).toEqual(2);
});

test('should stop acting by itself when the holder was paused past its lease', async () => {
  const { clock, one } = stage();
  await one.lease.tick(0);
  clock.advance(LIFETIME);
  expect(one.lease.epoch).toEqual(undefined);
});

test('should never have two holders at one moment, whatever pauses come', async () => {
  const { api, clock, one, two } = stage();
  for (let turn = 0; turn < 60; turn++) {
    clock.advance(LIFETIME / 4);
    const paused = Math.floor(turn / 8) % 2 === 0 ? one : two;
    for (const entry of [one, two]) {
      if (entry === paused) continue;
      await hear(api, entry);
      await entry.lease.tick(0);
    }
    const holders = [one.lease.epoch, two.lease.epoch].filter((epoch) => epoch !== undefined);
    expect(holders.length <= 1).toEqual(true);
  }
});

test('should lapse during an outage of the object api and come back under a higher epoch', async () => {
  const { api, clock, one } = stage();
  await one.lease.tick(0);
  api.writeFaults = Array.from({ length: 4 }, () => 'refuse' as const);
  clock.advance(LIFETIME / 2);
  await one.lease.tick(0);
  expect(one.lease.epoch).toEqual(1);
  clock.advance(LIFETIME);
  expect(one.lease.epoch).toEqual(undefined);
  api.writeFaults = [];
  clock.advance(LIFETIME);
  await one.lease.tick(0);
  clock.advance(LIFETIME + 1);
  await one.lease.tick(0);
  expect(one.lease.epoch).toEqual(2);
});

test('should hold the lease when the answer to its acquisition was lost', async () => {
  const { api, one } = stage();
  api.writeFaults = ['lose-answer'];
  await one.lease.tick(0);
  expect(one.lease.epoch).toEqual(1);
});

test('should hand a released lease on at once', async () => {
  const { api, one, two } = stage();
  await one.lease.tick(0);
  await one.lease.release();
  await hear(api, two);
  await two.lease.tick(0);
  expect(one.lease.epoch).toEqual(undefined);
  expect(two.lease.epoch).toEqual(2);
});

test('should let a later rank wait longer for a free lease', async () => {
  const { clock, two } = stage();
  await two.lease.tick(2);
  expect(two.lease.epoch).toEqual(undefined);
  clock.advance(LIFETIME / 2 + 1);
  await two.lease.tick(2);
  expect(two.lease.epoch).toEqual(1);
});
