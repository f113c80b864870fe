/** Detection of chunks that stay at a single box with a slow link. */
import { test } from 'node:test';
import { expect } from 'earl';
import { ScarceChunks, mayRefetch } from '../src/staging/scarceChunks.js';

test('should report a chunk that has stayed at one box for too long', () => {
  const scarce = new ScarceChunks();
  const holders = new Map([[3, 'slow']]);
  expect(scarce.update(holders, 0)).toEqual([]);
  expect(scarce.update(holders, 1_100)).toEqual([]);
  expect(scarce.update(holders, 1_300)).toEqual([{ chunk: 3, holder: 'slow', overdueMilliseconds: 100 }]);
});

test('should restart the time once another box has had the chunk', () => {
  const scarce = new ScarceChunks();
  scarce.update(new Map([[3, 'slow']]), 0);
  scarce.update(new Map(), 1_000);
  expect(scarce.update(new Map([[3, 'other']]), 1_500)).toEqual([]);
});

// Guards against several copies from the origin when all boxes are slow.
test('should fetch each further chunk again only when it is longer overdue', () => {
  const scarce = { chunk: 3, holder: 'slow', overdueMilliseconds: 500 };
  expect([0, 1, 2].map((refetched) => mayRefetch(scarce, refetched))).toEqual([true, true, false]);
});
