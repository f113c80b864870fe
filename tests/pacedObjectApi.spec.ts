/** Coordinators slow down when the object API refuses writes for their number, and recover. */
import { test } from 'node:test';
import { expect } from 'earl';
import { PacedObjectApi } from '../src/external/pacedObjectApi.js';
import { MemoryObjectApi } from './fixtures/memoryObjectApi.js';

test('should make fewer writes while the api refuses them for their number', async () => {
  const api = new MemoryObjectApi();
  const paced = new PacedObjectApi(api);
  api.writeFaults = ['limit', 'limit'];
  for (let attempt = 0; attempt < 2; attempt++) await paced.put('a/b', {}, 0);
  const waiting = paced.put('a/b', {}, 0);
  expect(api.writes).toEqual(2);
  expect((await waiting).kind).toEqual('written');
});

test('should not wait when nothing was refused', async () => {
  const api = new MemoryObjectApi();
  const paced = new PacedObjectApi(api);
  for (let write = 0; write < 50; write++) void paced.put(`a/${write}`, {}, 0);
  expect(api.writes).toEqual(50);
});
