/**
 * Guards against chunks of a newer version in the version that a backend server loads. Version 9 was announced
 * while the server served version 8, so that its chunks overwrote those of version 8 in the staging area as they
 * arrived. The server crashed and restarted without a version. Its agent went back to version 8: it read the staged
 * chunks, wrote those again that differed and sent the order, while chunks of version 9 were still being written.
 * Those that arrived between the reading and the order became part of the loaded version. Log lines of the agent,
 * with the time in seconds:
 *
 *   63.795 version.serving        version 8
 *   64.519 backend.gone           version 8
 *   64.676 chunk.not-laid         chunk 15, connect ECONNREFUSED; fifteen more until 65.941, all of version 9
 *   66.069 backend.started-again  revision 0, formerRevision 5
 *   66.099 chunks.laid-anew       chunks 20
 *   66.110 version.ordered        version 8, begun
 *   66.487 version.whole          version 9
 *
 * The fault does not show if the server answers at once, so calls of the fixture take a random time from a seed.
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

test('should not mix chunks of a newer version into the version that a restarted server loads', async () => {
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

test('should read the staged chunks again if the server accepts another order after the reading', async () => {
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

test('should bring a restarted server directly to the newest complete version', async () => {
  await fixture.start(1);
  await until(() => fixture.allServe(1));
  const [{ server }] = fixture.boxes;
  await until(() => fixture.logLines.some((line) => line.includes('version.serving')));
  server.busy = true;
  for (const version of [2, 3]) {
    fixture.announce(version);
    await until(() => fixture.logLines.some((line) => isCompleteLine(line, version)));
  }
  server.busy = false;
  server.crash();
  await until(() => fixture.allServe(3));
  expect(server.orders).toEqual([3]);
});

function isCompleteLine(line: string, version: number): boolean {
  return line.includes('version.whole') && line.includes(`"version":${version},`);
}

const LATE_EXECUTION_MILLISECONDS = 1_000;

/** Creates a staging area of a server whose writes end when the test says so. */
function scriptedArea() {
  const clock = new ManualClock();
  const stagedData = new Map<number, Buffer>();
  const ends: ((error?: Error) => void)[] = [];
  const script = { isHeld: false, outcome: 'begun' as OrderOutcome };
  const backend = {
    putChunk: async (_model: string, chunk: number, data: Buffer): Promise<void> => {
      if (script.isHeld) {
        await new Promise<void>((resolve, reject) => {
          ends.push((error) => (error ? reject(error) : resolve()));
        });
      }
      stagedData.set(chunk, data);
    },
    getChunk: async (_model: string, chunk: number): Promise<Buffer | undefined> => stagedData.get(chunk),
    startVersion: async (): Promise<OrderOutcome> => script.outcome,
  };
  const area = new StagingArea({ backend, clock, log: quietLog() });
  return { area, clock, stagedData, ends, script };
}

const bytesOf = (version: number, chunk = 0): Buffer => Buffer.from(`${version}/${chunk}`);

function stagerOf(version: number, { area, clock }: { area: StagingArea; clock: ManualClock }): ChunkStager {
  const chunks = [0, 1].map((chunk) => ({ digest: sha256Hex(bytesOf(version, chunk)), size: 3 }));
  const index = new ManifestIndex({ model: 'm', version: String(version), chunks });
  return new ChunkStager({ stagingArea: area, model: 'm', version, index, clock, log: quietLog() });
}

function failure(code: string): StepError {
  return new StepError('put', code, { cause: Object.assign(new Error(code), { code }) });
}

test('should not change the owner of the staging area while a write is running', async () => {
  const { area, ends, script } = scriptedArea();
  await area.acquire(1);
  script.isHeld = true;
  const write = area.write('m', 1, 0, bytesOf(1));
  let isAcquired = false;
  const acquired = area.acquire(2).then((result) => (isAcquired = result));
  await Promise.resolve();
  expect(isAcquired).toEqual(false);
  await expect(area.write('m', 1, 1, bytesOf(1, 1))).toBeRejected();
  ends[0]();
  await write;
  expect(await acquired).toEqual(true);
});

test('should write nothing of a version that does not own the staging area', async () => {
  const { area, stagedData } = scriptedArea();
  await area.acquire(1);
  await expect(area.write('m', 2, 0, bytesOf(2))).toBeRejected();
  expect(stagedData.size).toEqual(0);
});

test('should keep the owner after a write without an answer until it can no longer be executed', async () => {
  const { area, clock, ends, script } = scriptedArea();
  await area.acquire(1);
  script.isHeld = true;
  const write = area.write('m', 1, 0, bytesOf(1));
  ends[0](failure('UND_ERR_HEADERS_TIMEOUT'));
  await expect(write).toBeRejected();
  clock.advance(10 * LATE_EXECUTION_MILLISECONDS);
  expect(await area.acquire(2)).toEqual(false);
  area.onAnswer();
  clock.advance(LATE_EXECUTION_MILLISECONDS - 1);
  expect(await area.acquire(2)).toEqual(false);
  clock.advance(1);
  expect(await area.acquire(2)).toEqual(true);
});

test('should change the owner after a write whose connection was refused', async () => {
  const { area, ends, script } = scriptedArea();
  await area.acquire(1);
  script.isHeld = true;
  const write = area.write('m', 1, 0, bytesOf(1));
  ends[0](failure('ECONNREFUSED'));
  await expect(write).toBeRejected();
  expect(await area.acquire(2)).toEqual(true);
});

test('should keep the owner after an order without an answer until the server has ended', async () => {
  const { area, script } = scriptedArea();
  await area.acquire(1);
  script.outcome = 'unknown';
  await area.order('m', 0);
  expect(await area.acquire(2)).toEqual(false);
  expect(await area.acquire(1)).toEqual(true);
  area.onServerExit();
  expect(await area.acquire(2)).toEqual(true);
});

test('should write the chunks of a version again after another one has owned the staging area', async () => {
  const scripted = scriptedArea();
  const [older, newer] = [stagerOf(1, scripted), stagerOf(2, scripted)];
  await older.acquireStagingArea();
  older.add(0, bytesOf(1, 0));
  await until(() => scripted.stagedData.size === 1);
  await newer.acquireStagingArea();
  newer.add(0, bytesOf(2, 0));
  older.add(1, bytesOf(1, 1));
  await until(() => scripted.stagedData.get(0)!.equals(bytesOf(2, 0)));
  expect(scripted.stagedData.size).toEqual(1);
  await older.acquireStagingArea();
  await until(() => scripted.stagedData.get(0)!.equals(bytesOf(1, 0)) && scripted.stagedData.size === 2);
  expect(scripted.stagedData.get(1)).toEqual(bytesOf(1, 1));
});

test('should not rely on chunks that were read before another version owned the staging area', async () => {
  const scripted = scriptedArea();
  const [older, newer] = [stagerOf(1, scripted), stagerOf(2, scripted)];
  await older.acquireStagingArea();
  const staged = [0, 1].map((chunk) => ({ chunk, data: bytesOf(1, chunk), readAt: scripted.clock.now() }));
  older.adopt(staged, () => undefined);
  scripted.clock.advance(1);
  await newer.acquireStagingArea();
  newer.add(0, bytesOf(2, 0));
  await until(() => scripted.stagedData.size === 1);
  await older.acquireStagingArea();
  expect(await older.verify((chunk) => bytesOf(1, chunk), -1)).toEqual(true);
  expect([...scripted.stagedData.values()]).toEqual([bytesOf(1, 0), bytesOf(1, 1)]);
});
