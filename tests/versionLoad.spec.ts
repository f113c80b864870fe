/**
 * Guards against a backend server that serves weights of which a chunk was corrupt when it took them. The agent had
 * found all chunks intact; then one was corrupted and the machine was paused for 4 s before the order was sent.
 */
import { beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { layersOfChunks, layersToKeep, stillDoubtful } from '../src/staging/loadDecisions.js';
import { CHUNKS, LAYERS, LoadFixture } from './fixtures/loadFixture.js';

let fixture: LoadFixture;

beforeEach(() => {
  fixture = new LoadFixture();
});

/** Corrupts a chunk and freezes the machine once `reads` reads have been answered. */
function freezeAfter(reads: number, chunk = 0): void {
  fixture.server.onRead = (count) => {
    if (count !== reads) return;
    fixture.server.corrupt(chunk);
    fixture.freeze();
  };
}

test('should load intact chunks with one order', async () => {
  expect(await fixture.run()).toEqual('serving');
  expect(fixture.servesIntactLayers).toEqual(true);
  expect(fixture.confirmed).toEqual([{ startedAt: 7, revision: 1, version: 2 }]);
});

test('should repair a chunk that was corrupted before the machine froze between check and order', async () => {
  freezeAfter(CHUNKS);
  expect(await fixture.run()).toEqual('serving');
  expect(fixture.servesIntactLayers).toEqual(true);
  expect(fixture.server.revision).toEqual(1);
});

test('should repair a chunk that was corrupted before the machine froze amid the check', async () => {
  freezeAfter(CHUNKS / 2);
  expect(await fixture.run()).toEqual('serving');
  expect(fixture.servesIntactLayers).toEqual(true);
  expect(fixture.server.revision).toEqual(1);
});

test('should repair chunks that were corrupted before each of several freezes', async () => {
  fixture.server.onRead = (count) => {
    if (count !== CHUNKS && count !== 2 * CHUNKS) return;
    fixture.server.corrupt(count % 5);
    fixture.freeze();
  };
  expect(await fixture.run()).toEqual('serving');
  expect(fixture.servesIntactLayers).toEqual(true);
});

test('should read chunks again after each freeze, however many orders were lost', async () => {
  let orders = 0;
  fixture.server.onOrder = () => {
    if (++orders === 5) return 'answered';
    fixture.server.corrupt(orders);
    fixture.freeze();
    return 'dropped';
  };
  expect(await fixture.run()).toEqual('serving');
  expect(fixture.server.revision).toEqual(1);
  expect(fixture.servesIntactLayers).toEqual(true);
});

test('should load a layer again that was corrupt when a frozen server took the order', async () => {
  fixture.server.onOrder = () => {
    fixture.server.onOrder = () => 'answered';
    fixture.server.corrupt(5);
    fixture.freeze();
    return 'answered';
  };
  expect(await fixture.run()).toEqual('serving');
  expect(fixture.servesIntactLayers).toEqual(true);
  expect(fixture.confirmed).toEqual([{ startedAt: 7, revision: 3, version: 2 }]);
});

test('should load layers again that were corrupt when the server took an order without an answer', async () => {
  fixture.server.onOrder = () => {
    fixture.server.onOrder = () => 'answered';
    for (const chunk of [0, CHUNKS - 1]) fixture.server.corrupt(chunk);
    fixture.freeze();
    return 'unanswered';
  };
  expect(await fixture.run()).toEqual('serving');
  expect(fixture.servesIntactLayers).toEqual(true);
});

test('should not confirm a corrupt version if the server can not load a part of the layers', async () => {
  fixture.server.takesParts = false;
  fixture.server.onOrder = () => {
    fixture.server.corrupt(5);
    return 'answered';
  };
  expect(await fixture.run()).toEqual('doubtful');
  expect(fixture.confirmed).toEqual([]);
});

test('should find a chunk that is corrupted when the server has taken it', async () => {
  fixture.server.onRead = (count) => {
    if (count === CHUNKS + 1) fixture.server.corrupt(CHUNKS - 1);
  };
  expect(await fixture.run()).toEqual('serving');
  expect(fixture.servesIntactLayers).toEqual(true);
  expect(fixture.server.revision).toEqual(3);
});

test('should load a version with a bounded number of reads where reading takes longer than a check may', async () => {
  fixture.server.readMilliseconds = 1_000;
  expect(await fixture.run()).toEqual('serving');
  expect(fixture.server.reads <= 4 * CHUNKS).toEqual(true);
  expect(fixture.server.revision).toEqual(1);
});

test('should write nothing to the staging area from the order to its confirmation', async () => {
  const wasLocked: boolean[] = [];
  fixture.server.onRead = () => wasLocked.push(fixture.area.isLocked);
  await fixture.run();
  expect(wasLocked).toEqual([...Array<boolean>(CHUNKS).fill(false), ...Array<boolean>(CHUNKS).fill(true)]);
  expect(fixture.area.isLocked).toEqual(false);
});

test('should read chunks again after the server took them if it did not answer', async () => {
  let failures = 3;
  const { getChunk } = fixture.server;
  fixture.server.getChunk = async (model, chunk) => {
    if (fixture.area.isLocked && failures-- > 0) throw new Error('no answer');
    return await getChunk.call(fixture.server, model, chunk);
  };
  expect(await fixture.run()).toEqual('serving');
  expect(fixture.confirmed.length).toEqual(1);
});

test('should confirm a version that the server took before the agent started', async () => {
  fixture.server.version = 2;
  fixture.server.revision = 4;
  await fixture.area.lock();
  expect(await fixture.load.confirmServed(await fixture.server.status(), true)).toEqual('serving');
  expect(fixture.confirmed).toEqual([{ startedAt: 7, revision: 4, version: 2 }]);
});

test('should load all layers again if chunks may have been written since the server took them', async () => {
  fixture.server.version = 2;
  fixture.server.revision = 1;
  for (let layer = 0; layer < LAYERS; layer++) fixture.server.heldLayers.set(layer, layer !== 2);
  await fixture.area.acquire(2);
  expect(await fixture.load.confirmServed(await fixture.server.status(), false)).toEqual('serving');
  expect(fixture.servesIntactLayers).toEqual(true);
});

test('should know the layers of a chunk at a border', () => {
  expect(layersOfChunks([0, 5], 6, 4)).toEqual([0, 3]);
  expect(layersOfChunks([1], 6, 4)).toEqual([0, 1]);
});

test('should keep the longest range of layers without doubtful ones', () => {
  expect(layersToKeep([5], 16)).toEqual({ first: 6, end: 16 });
  expect(layersToKeep([12], 16)).toEqual({ first: 0, end: 12 });
  expect(layersToKeep([0, 15], 16)).toEqual({ first: 0, end: 8 });
  expect(stillDoubtful([0, 15], [], { first: 0, end: 8 })).toEqual([0]);
});
