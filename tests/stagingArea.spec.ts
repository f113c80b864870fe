/**
 * A model server was ordered to take version 8 and took it with chunks of version 9 among its own. Version 9 had been named while
 * the server served version 8, so that its chunks were laid over those of version 8 as they came. The server crashed and started
 * again without any version; its agent went back to version 8, read the place, laid anew what differed and ordered it, while
 * chunks of version 9 went on being laid into the same place as they arrived. What came between the reading and the taking of
 * the order was in what the server took. The lines of the agent that settled it, in seconds:
 *
 *   63.795 version.serving        version 8
 *   64.519 backend.gone           version 8
 *   64.676 chunk.not-laid         chunk 15, connect ECONNREFUSED; fifteen more until 65.941, all of version 9
 *   66.069 backend.started-again  revision 0, formerRevision 5
 *   66.099 chunks.laid-anew       chunks 20
 *   66.110 version.ordered        version 8, begun
 *   66.487 version.whole          version 9
 *
 * Servers that answer at once never show it: in the fixture each call takes some time, drawn by a seed.
 */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { ChunkStager } from '../src/staging/chunkStager.js';
import type { OrderOutcome } from '../src/staging/localBackend.js';
import { StagingArea } from '../src/staging/stagingArea.js';
import { ManualClock } from '../src/utils/clock.js';
import { sha256Hex } from '../src/utils/hash.js';
import { StepError } from '../src/utils/stepError.js';
import { ManifestIndex } from '../src/weights/manifestIndex.js';
import { quietLog } from './fixtures/quietLog.js';
import { StagingFixture } from './fixtures/stagingFixture.js';
import { until } from './fixtures/until.js';

let fixture: StagingFixture;

beforeEach(() => {
  fixture = new StagingFixture();
});

afterEach(async () => await fixture.stop());

test('should not let chunks of a newer version into what a server that starts again is ordered to take', async () => {
  await fixture.start(1);
  await until(() => fixture.allServe(1));
  const [{ server }] = fixture.boxes;
  server.callMilliseconds = 6;
  fixture.origin.readMilliseconds = 30;
  for (let version = 2; version <= 7; version++) {
    fixture.announce(version);
    await until(() => server.countStaged(version) >= 2);
    server.crash();
    await until(() => fixture.allServe(version));
  }
  expect(fixture.corruptLoads).toEqual([]);
});

test('should read the place again when the server takes an order between the reading and the next one', async () => {
  await fixture.start(1);
  await until(() => fixture.allServe(1));
  const [{ server }] = fixture.boxes;
  server.onRead = () => {
    server.onRead = () => undefined;
    server.orders.push(1);
  };
  fixture.announce(2);
  await until(() => fixture.allServe(2));
  expect(server.orders).toEqual([1, 1, 2]);
  expect(fixture.logLines.some((line) => line.includes('version.reading-void'))).toEqual(true);
});

test('should bring a server that has started again to the newest version that is whole, and not to each', async () => {
  await fixture.start(1);
  await until(() => fixture.allServe(1));
  const [{ server }] = fixture.boxes;
  await until(() => fixture.logLines.some((line) => line.includes('version.serving')));
  server.busy = true;
  for (const version of [2, 3]) {
    fixture.announce(version);
    await until(() => fixture.logLines.some((line) => isWhole(line, version)));
  }
  server.busy = false;
  server.crash();
  await until(() => fixture.allServe(3));
  expect(server.orders).toEqual([3]);
});

function isWhole(line: string, version: number): boolean {
  return line.includes('version.whole') && line.includes(`"version":${version},`);
}

const SETTLED_MILLISECONDS = 1_000;

/** A place before a server whose writes end when the test says so. */
function scriptedPlace() {
  const clock = new ManualClock();
  const lying = new Map<number, Buffer>();
  const ends: ((error?: Error) => void)[] = [];
  const script = { isHeld: false, outcome: 'begun' as OrderOutcome };
  const backend = {
    putChunk: async (_model: string, chunk: number, data: Buffer): Promise<void> => {
      if (script.isHeld) {
        await new Promise<void>((resolve, reject) => {
          ends.push((error) => (error ? reject(error) : resolve()));
        });
      }
      lying.set(chunk, data);
    },
    getChunk: async (_model: string, chunk: number): Promise<Buffer | undefined> => lying.get(chunk),
    startVersion: async (): Promise<OrderOutcome> => script.outcome,
  };
  const place = new StagingArea({ backend, clock, log: quietLog() });
  return { place, clock, lying, ends, script };
}

const bytesOf = (version: number, chunk = 0): Buffer => Buffer.from(`${version}/${chunk}`);

function stagerOf(
  version: number,
  { place, clock }: { place: StagingArea; clock: ManualClock },
): ChunkStager {
  const chunks = [0, 1].map((chunk) => ({ digest: sha256Hex(bytesOf(version, chunk)), size: 3 }));
  const index = new ManifestIndex({ model: 'm', version: String(version), chunks });
  return new ChunkStager({ stagingArea: place, model: 'm', version, index, clock, log: quietLog() });
}

function failure(code: string): StepError {
  return new StepError('put', code, { cause: Object.assign(new Error(code), { code }) });
}

test('should not give the place to another version while a write is under way', async () => {
  const { place, ends, script } = scriptedPlace();
  await place.acquire(1);
  script.isHeld = true;
  const write = place.write('m', 1, 0, bytesOf(1));
  let isGiven = false;
  const given = place.acquire(2).then((result) => (isGiven = result));
  await Promise.resolve();
  expect(isGiven).toEqual(false);
  await expect(place.write('m', 1, 1, bytesOf(1, 1))).toBeRejected();
  ends[0]();
  await write;
  expect(await given).toEqual(true);
});

test('should lay nothing of a version that does not hold the place', async () => {
  const { place, lying } = scriptedPlace();
  await place.acquire(1);
  await expect(place.write('m', 2, 0, bytesOf(2))).toBeRejected();
  expect(lying.size).toEqual(0);
});

test('should keep the place for a version whose write got no answer, until it cannot be done any more', async () => {
  const { place, clock, ends, script } = scriptedPlace();
  await place.acquire(1);
  script.isHeld = true;
  const write = place.write('m', 1, 0, bytesOf(1));
  ends[0](failure('UND_ERR_HEADERS_TIMEOUT'));
  await expect(write).toBeRejected();
  clock.advance(10 * SETTLED_MILLISECONDS);
  expect(await place.acquire(2)).toEqual(false);
  place.onAnswer();
  clock.advance(SETTLED_MILLISECONDS - 1);
  expect(await place.acquire(2)).toEqual(false);
  clock.advance(1);
  expect(await place.acquire(2)).toEqual(true);
});

test('should give the place on after a write that reached nothing', async () => {
  const { place, ends, script } = scriptedPlace();
  await place.acquire(1);
  script.isHeld = true;
  const write = place.write('m', 1, 0, bytesOf(1));
  ends[0](failure('ECONNREFUSED'));
  await expect(write).toBeRejected();
  expect(await place.acquire(2)).toEqual(true);
});

test('should keep the place for a version whose order got no answer, until the server has ended', async () => {
  const { place, script } = scriptedPlace();
  await place.acquire(1);
  script.outcome = 'unknown';
  await place.order('m', 0);
  expect(await place.acquire(2)).toEqual(false);
  expect(await place.acquire(1)).toEqual(true);
  place.onServerExit();
  expect(await place.acquire(2)).toEqual(true);
});

test('should lay a version again that had the place before another one', async () => {
  const scripted = scriptedPlace();
  const [older, newer] = [stagerOf(1, scripted), stagerOf(2, scripted)];
  await older.acquireStagingArea();
  older.add(0, bytesOf(1, 0));
  await until(() => scripted.lying.size === 1);
  await newer.acquireStagingArea();
  newer.add(0, bytesOf(2, 0));
  older.add(1, bytesOf(1, 1));
  await until(() => scripted.lying.get(0)!.equals(bytesOf(2, 0)));
  expect(scripted.lying.size).toEqual(1);
  await older.acquireStagingArea();
  await until(() => scripted.lying.get(0)!.equals(bytesOf(1, 0)) && scripted.lying.size === 2);
  expect(scripted.lying.get(1)).toEqual(bytesOf(1, 1));
});

test('should not trust what was read before another version had the place', async () => {
  const scripted = scriptedPlace();
  const [older, newer] = [stagerOf(1, scripted), stagerOf(2, scripted)];
  await older.acquireStagingArea();
  const staged = [0, 1].map((chunk) => ({ chunk, data: bytesOf(1, chunk), readAt: scripted.clock.now() }));
  older.adopt(staged, () => undefined);
  scripted.clock.advance(1);
  await newer.acquireStagingArea();
  newer.add(0, bytesOf(2, 0));
  await until(() => scripted.lying.size === 1);
  await older.acquireStagingArea();
  expect(await older.verify((chunk) => bytesOf(1, chunk), -1)).toEqual(true);
  expect([...scripted.lying.values()]).toEqual([bytesOf(1, 0), bytesOf(1, 1)]);
});
