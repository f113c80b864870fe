/** Bitset: serialisation and bounds. */
import { test } from 'node:test';
import { expect } from 'earl';
import { Bitset } from '../src/utils/bitset.js';

test('should survive a round trip through bytes', () => {
  const set = new Bitset(19);
  for (const index of [0, 7, 8, 18]) set.add(index);
  expect(Bitset.fromBytes(19, set.toBytes()).members()).toEqual([0, 7, 8, 18]);
});

test('should refuse indexes outside its size', () => {
  const set = new Bitset(4);
  expect(set.add(4)).toEqual(false);
  expect(set.add(-1)).toEqual(false);
  expect(set.count).toEqual(0);
});
