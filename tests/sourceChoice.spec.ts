/** Which sources an entry chooses for its copies, and whether it reads the store itself. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { RecordSource, SourceChoiceInput } from '../src/records/sourceChoice.js';
import { chooseSources } from '../src/records/sourceChoice.js';

function source(box: string): RecordSource {
  return { box, address: `${box}:1` };
}

const RANKING = ['a', 'b', 'c', 'd', 'e'].map(source);

function choice(
  own: string,
  failed: readonly string[] = [],
  changes: Partial<SourceChoiceInput> = {},
): string {
  const { reads, sources } = chooseSources({
    own: RANKING.find(({ box }) => box === own) ?? source(own),
    ranking: RANKING,
    seeds: [],
    hasFailed: (address) => failed.includes(address.split(':')[0]),
    ...changes,
  });
  const names = sources.map(({ box }) => box.split(':')[0]).join('+');
  return reads ? `store ${names}`.trim() : names;
}

// own entry, failed entries, expected choice
const TABLE: readonly [what: string, own: string, failed: string[], expected: string][] = [
  ['the first reads, and listens to the second', 'a', [], 'store b'],
  ['the second reads, and listens to the first', 'b', [], 'store a'],
  ['all others listen to both', 'd', [], 'a+b'],
  ['a reader that is killed or frozen is excluded', 'd', ['a'], 'b+c'],
  ['the next one takes its place', 'c', ['a'], 'store b'],
  ['both readers are lost', 'e', ['a', 'b'], 'c+d'],
  ['one that does not reach the store listens to others', 'a', ['a'], 'b+c'],
  ['an entry that is cut off from all others reads the store', 'e', ['a', 'b', 'c', 'd'], 'store'],
  [
    'each entry checks whether the store is back when all have failed',
    'c',
    ['a', 'b', 'c', 'd', 'e'],
    'store',
  ],
];

for (const [what, own, failed, expected] of TABLE) {
  test(`should choose so that ${what}`, () => {
    expect(choice(own, failed)).toEqual(expected);
  });
}

test('should use the seeds while no other entry is known', () => {
  const alone = { ranking: [source('x')], seeds: ['s1:1', 's2:1', 's3:1'] };
  expect(choice('x', [], alone)).toEqual('s1+s2');
  expect(choice('x', ['s1', 's2'], alone)).toEqual('store s3');
  expect(choice('x', ['s1', 's2', 's3'], alone)).toEqual('store');
});

test('should read the store as a seed, so that entries which use it get records', () => {
  const alone = { ranking: [source('s1')], seeds: ['s1:1', 's2:1', 's3:1'] };
  expect(choice('s1', [], alone)).toEqual('store s2');
});

test('should read the store if there is no other entry', () => {
  expect(choice('x', [], { ranking: [source('x')] })).toEqual('store');
});
