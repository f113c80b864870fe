import { test } from 'node:test';
import { expect } from 'earl';
import { PacedObjectApi } from '../src/external/pacedObjectApi.js';
import { MemoryObjectApi } from './fixtures/memoryObjectApi.js';

test('should delay a write after the API has rate-limited the ones before', async () => {
  const api = new MemoryObjectApi();
  const paced = new PacedObjectApi(api);
  api.writeFaults = ['limit', 'limit'];
  for (let attempt = 0; attempt < 2; attempt++) await paced.put('a/b', {}, 0);
  const waiting = paced.put('a/b', {}, 0);
  expect(api.writes).toEqual(2);
  expect((await waiting).kind).toEqual('written');
});

test('should not delay writes when none was refused', async () => {
  const api = new MemoryObjectApi();
  const paced = new PacedObjectApi(api);
  for (let write = 0; write < 50; write++) void paced.put(`a/${write}`, {}, 0);
  expect(api.writes).toEqual(50);
});
