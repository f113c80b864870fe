/** Chunks that stay at one box with a narrow link. */
import { test } from 'node:test';
import { expect } from 'earl';
import { ScarceChunks } from '../src/staging/scarceChunks.js';

test('should tell that a chunk has stayed at one box for long', () => {
  const scarce = new ScarceChunks();
  const holders = new Map([[3, 'narrow']]);
  expect(scarce.update(holders, 0)).toEqual([]);
  expect(scarce.update(holders, 1_100)).toEqual([]);
  expect(scarce.update(holders, 1_300)).toEqual([{ chunk: 3, holder: 'narrow', overdueMilliseconds: 100 }]);
});

test('should begin anew once another box has held the chunk', () => {
  const scarce = new ScarceChunks();
  scarce.update(new Map([[3, 'narrow']]), 0);
  scarce.update(new Map(), 1_000);
  expect(scarce.update(new Map([[3, 'other']]), 1_500)).toEqual([]);
});
