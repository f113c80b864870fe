/** The store of chunks: bounded memory, separate for each customer, shared between versions. */
import { test } from 'node:test';
import { expect } from 'earl';
import { ChunkStore } from '../src/weights/chunkStore.js';

const DATA = Buffer.alloc(10);
const chunk = (digest: string): { digest: string; size: number } => ({ digest, size: 10 });

test('should not reserve more than the limit', () => {
  const store = new ChunkStore(25);
  expect(store.retain('v1', 'a', [chunk('x'), chunk('y')])).toEqual('retained');
  expect(store.retain('v2', 'a', [chunk('z')])).toEqual('full');
  store.release('v1');
  expect(store.retain('v2', 'a', [chunk('z')])).toEqual('retained');
});

test('should count a chunk that two versions share once', () => {
  const store = new ChunkStore(25);
  store.retain('v1', 'a', [chunk('x')]);
  store.put('a', 'x', DATA);
  expect(store.retain('v2', 'a', [chunk('x'), chunk('y')])).toEqual('retained');
  store.release('v1');
  expect(store.has('a', 'x')).toEqual(true);
  expect(store.retainedBytes).toEqual(20);
  store.release('v2');
  expect(store.usedBytes).toEqual(0);
});

test('should not show one customer the chunk of another with the same digest', () => {
  const store = new ChunkStore(100);
  store.retain('v1', 'a', [chunk('x')]);
  store.put('a', 'x', DATA);
  expect(store.get('b', 'x')).toEqual(undefined);
});

test('should drop a chunk that arrives after its version was released', () => {
  const store = new ChunkStore(100);
  store.retain('v1', 'a', [chunk('x')]);
  store.release('v1');
  store.put('a', 'x', DATA);
  expect(store.usedBytes).toEqual(0);
});
