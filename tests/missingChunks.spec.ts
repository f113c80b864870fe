/** What log lines say about missing chunks. */
import { test } from 'node:test';
import { expect } from 'earl';
import { MissingReports, chunkList, missingChunkFields } from '../src/staging/missingChunks.js';

test('should name chunks as ranges, in a line of bounded length', () => {
  expect(chunkList([7, 1, 0, 2])).toEqual('0-2,7');
  expect(chunkList([])).toEqual('');
  const many = Array.from({ length: 100 }, (_unused, index) => 2 * index);
  expect(chunkList(many).split(',').length).toEqual(17);
});

// Guards against a rollout that stands still without a line that says whose fetch it waits for.
test('should name the boxes that are to fetch what no neighbour holds', () => {
  const fetcherOf = (chunk: number): string | undefined => (chunk === 5 ? undefined : `box-${chunk % 2}`);
  const fields = missingChunkFields([1, 2, 3, 4, 5], [1, 3, 4, 5], fetcherOf);
  expect(fields).toEqual({
    missing: 5,
    list: '1-5',
    unavailable: 4,
    fetchers: 'box-1:1,3 box-0:4 nobody:5',
  });
});

test('should report a version that is late once per interval', () => {
  const reports = new MissingReports(100);
  expect([3_900, 4_100, 4_200, 5_100].map((now) => reports.isDue(now))).toEqual([false, true, false, true]);
});
