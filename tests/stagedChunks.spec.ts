/** Chunks that an earlier run has staged are read once, before a version needs them, and not again when it does. */
import { test } from 'node:test';
import { expect } from 'earl';
import { ChunkStager } from '../src/staging/chunkStager.js';
import type { LocalBackend } from '../src/staging/localBackend.js';
import { StagedChunks } from '../src/staging/stagedChunks.js';
import { StagingArea } from '../src/staging/stagingArea.js';
import { ManualClock } from '../src/utils/clock.js';
import { sha256Hex } from '../src/utils/hash.js';
import { ManifestIndex } from '../src/weights/manifestIndex.js';
import { quietLog } from './fixtures/quietLog.js';
import { until } from './fixtures/until.js';

const CHUNKS = [0, 1, 2, 3];
const bytesOf = (chunk: number): Buffer => Buffer.from(`chunk ${chunk}`);

function fixture(models: () => Promise<string[]> = async () => ['m']) {
  const clock = new ManualClock();
  const reads: number[] = [];
  const stagedData = new Map(CHUNKS.map((chunk) => [chunk, bytesOf(chunk)]));
  const backend: Pick<LocalBackend, 'stagedChunks' | 'getChunk' | 'putChunk'> = {
    stagedChunks: async (model) => (model === 'm' ? [...stagedData.keys()] : []),
    getChunk: async (_model, chunk) => {
      reads.push(chunk);
      return stagedData.get(chunk);
    },
    putChunk: async (_model, chunk, data) => void stagedData.set(chunk, data),
  };
  const staged = new StagedChunks({ backend, models, clock, log: quietLog() });
  const chunks = CHUNKS.map((chunk) => ({ digest: sha256Hex(bytesOf(chunk)), size: bytesOf(chunk).length }));
  const index = new ManifestIndex({ model: 'm', version: '1', chunks });
  const stagingArea = new StagingArea({ backend: backend as LocalBackend, clock, log: quietLog() });
  const stager = new ChunkStager({
    stagingArea,
    model: 'm',
    version: 1,
    index,
    clock,
    log: quietLog(),
  });
  return { clock, reads, stagedData, staged, stager };
}

test('should read the staged chunks before a version needs them', async () => {
  const { staged, reads } = fixture();
  staged.start();
  await until(() => reads.length === CHUNKS.length);
  expect((await staged.take('m')).map(({ chunk }) => chunk).sort()).toEqual(CHUNKS);
  expect(reads.length).toEqual(CHUNKS.length);
});

test('should read the staged chunks when they are needed if the models could not be read before', async () => {
  const { staged } = fixture(async () => await Promise.reject(new Error('no store')));
  staged.start();
  expect((await staged.take('m')).length).toEqual(CHUNKS.length);
});

test('should read the staged chunks of a model that had no announced version at the start', async () => {
  const { staged } = fixture(async () => ['other']);
  staged.start();
  expect((await staged.take('m')).length).toEqual(CHUNKS.length);
});

test('should take over only chunks that match the manifest', async () => {
  const { staged, stager, stagedData } = fixture();
  stagedData.set(2, Buffer.from('corrupt'));
  stagedData.set(9, Buffer.from('of a larger version'));
  const taken: number[] = [];
  stager.adopt(await staged.take('m'), (chunk) => taken.push(chunk));
  expect(taken.sort()).toEqual([0, 1, 3]);
});

test('should not read back a chunk that was read a moment ago, but read it back later', async () => {
  const { staged, stager, reads, clock } = fixture();
  stager.adopt(await staged.take('m'), () => undefined);
  reads.length = 0;
  expect(await stager.verify(bytesOf, -1)).toEqual(true);
  expect(reads).toEqual([]);
  clock.advance(1_000);
  expect(await stager.verify(bytesOf, -1)).toEqual(true);
  expect(reads).toEqual(CHUNKS);
});

test('should write a chunk again that was corrupt when it was read ahead', async () => {
  const { staged, stager, stagedData } = fixture();
  stagedData.set(2, Buffer.from('corrupt'));
  stager.adopt(await staged.take('m'), () => undefined);
  expect(await stager.acquireStagingArea()).toEqual(true);
  expect(await stager.verify(bytesOf, -1)).toEqual(true);
  expect(stagedData.get(2)).toEqual(bytesOf(2));
});

test('should read chunks back again that may have been read from an earlier run of the server', async () => {
  const { staged, stager, reads, clock, stagedData } = fixture();
  stager.adopt(await staged.take('m'), () => undefined);
  const runSeenAt = clock.now();
  stagedData.clear();
  reads.length = 0;
  expect(await stager.acquireStagingArea()).toEqual(true);
  expect(await stager.verify(bytesOf, runSeenAt)).toEqual(true);
  expect(reads.slice(0, CHUNKS.length)).toEqual(CHUNKS);
  expect([...stagedData.keys()]).toEqual(CHUNKS);
});
