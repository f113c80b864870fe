/** LeaseKeeper: two entries compete for one lease, with pauses, outages and races, on a manual clock. */
import { test } from 'node:test';
import { expect } from 'earl';
import { Replica } from '../src/configuration/replica.js';
import { ConditionalWriter } from '../src/configuration/conditionalWriter.js';
import { LeaseKeeper } from '../src/lease/leaseKeeper.js';
import { Logger } from '../src/telemetry/logger.js';
import { ManualClock } from '../src/utils/clock.js';
import { MemoryObjectApi } from './fixtures/memoryObjectApi.js';

const KEY = 'lease/studio/advisor';
const LIFETIME_MILLISECONDS = 3_000;

interface Entry {
  lease: LeaseKeeper;
  replica: Replica;
}

interface Fixture {
  api: MemoryObjectApi;
  clock: ManualClock;
  one: Entry;
  two: Entry;
}

function createFixture(): Fixture {
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
        lifetimeMilliseconds: LIFETIME_MILLISECONDS,
        replica,
        writer,
        clock,
        logger,
      }),
    };
  };
  return { api, clock, one: entry('one'), two: entry('two') };
}

/** Copies the current lease object to the replica of an entry, as replication does in a fleet. */
async function replicate(api: MemoryObjectApi, entry: Entry): Promise<void> {
  const object = await api.get(KEY);
  if (object) entry.replica.apply({ ...object, deleted: false }, 'api');
}

test('should give the lease to one of two entries that acquire it at the same time', async () => {
  const { one, two } = createFixture();
  await Promise.all([one.lease.tick(0), two.lease.tick(0)]);
  expect([one.lease.epoch, two.lease.epoch].filter((epoch) => epoch !== undefined)).toEqual([1]);
});

test('should not acquire a lease that another entry renews', async () => {
  const { api, clock, one, two } = createFixture();
  await one.lease.tick(0);
  for (let round = 0; round < 10; round++) {
    clock.advance(LIFETIME_MILLISECONDS / 2);
    await one.lease.tick(0);
    await replicate(api, two);
    await two.lease.tick(0);
    expect(two.lease.epoch).toEqual(undefined);
  }
  expect(one.lease.epoch).toEqual(1);
});

test('should acquire the lease under a higher epoch once the holder stops renewing it', async () => {
  const { api, clock, one, two } = createFixture();
  await one.lease.tick(0);
  await replicate(api, two);
  await two.lease.tick(0);
  clock.advance(LIFETIME_MILLISECONDS + 1);
  await two.lease.tick(0);
  expect(two.lease.epoch).toEqual(2);
});

test('should lapse when the holder was paused past the lifetime of its lease', async () => {
  const { clock, one } = createFixture();
  await one.lease.tick(0);
  clock.advance(LIFETIME_MILLISECONDS);
  expect(one.lease.epoch).toEqual(undefined);
});

test('should never have two holders at the same time when entries pause in turn', async () => {
  const { api, clock, one, two } = createFixture();
  for (let round = 0; round < 60; round++) {
    clock.advance(LIFETIME_MILLISECONDS / 4);
    const paused = Math.floor(round / 8) % 2 === 0 ? one : two;
    for (const entry of [one, two]) {
      if (entry === paused) continue;
      await replicate(api, entry);
      await entry.lease.tick(0);
    }
    const holders = [one.lease.epoch, two.lease.epoch].filter((epoch) => epoch !== undefined);
    expect(holders.length <= 1).toEqual(true);
  }
});

test('should lapse during an outage of the object api and come back under a higher epoch', async () => {
  const { api, clock, one } = createFixture();
  await one.lease.tick(0);
  api.writeFaults = Array.from({ length: 4 }, () => 'refuse' as const);
  clock.advance(LIFETIME_MILLISECONDS / 2);
  await one.lease.tick(0);
  expect(one.lease.epoch).toEqual(1);
  clock.advance(LIFETIME_MILLISECONDS);
  expect(one.lease.epoch).toEqual(undefined);
  api.writeFaults = [];
  clock.advance(LIFETIME_MILLISECONDS);
  await one.lease.tick(0);
  clock.advance(LIFETIME_MILLISECONDS + 1);
  await one.lease.tick(0);
  expect(one.lease.epoch).toEqual(2);
});

test('should hold the lease when the answer to its acquisition was lost', async () => {
  const { api, one } = createFixture();
  api.writeFaults = ['lose-answer'];
  await one.lease.tick(0);
  expect(one.lease.epoch).toEqual(1);
});

test('should acquire a released lease at once', async () => {
  const { api, one, two } = createFixture();
  await one.lease.tick(0);
  await one.lease.release();
  await replicate(api, two);
  await two.lease.tick(0);
  expect(one.lease.epoch).toEqual(undefined);
  expect(two.lease.epoch).toEqual(2);
});

test('should wait longer for a free lease at a later rank', async () => {
  const { clock, two } = createFixture();
  await two.lease.tick(2);
  expect(two.lease.epoch).toEqual(undefined);
  clock.advance(LIFETIME_MILLISECONDS / 2 + 1);
  await two.lease.tick(2);
  expect(two.lease.epoch).toEqual(1);
});

/** Guards against an entry that exits with a lease which it was acquiring when it was asked to stop. */
test('should leave no lease held that was being acquired or renewed when its entry stopped', async () => {
  const { api, clock, one, two } = createFixture();
  const acquired = one.lease.tick(0);
  await Promise.all([acquired, one.lease.close()]);
  await one.lease.tick(0);
  expect(one.lease.epoch).toEqual(undefined);
  await replicate(api, two);
  await two.lease.tick(0);
  expect(two.lease.epoch).toEqual(2);
  clock.advance(LIFETIME_MILLISECONDS / 2);
  const renewed = two.lease.tick(0);
  await Promise.all([renewed, two.lease.close()]);
  expect(((await api.get(KEY))?.value as { released: boolean }).released).toEqual(true);
});
