/** Memory that the clients of a process take together. */
import { test } from 'node:test';
import { expect } from 'earl';
import { MemoryBudget } from '../src/limits/memoryBudget.js';
import type { MemoryShare } from '../src/limits/memoryBudget.js';
import type { Collection } from '../src/limits/reclaimer.js';
import { Reclaimer } from '../src/limits/reclaimer.js';

const MEGABYTE = 1024 * 1024;

/** Opens a share of `megabytes` that can be evicted. */
function evictable(budget: MemoryBudget, megabytes: number): MemoryShare {
  const share = budget.share();
  share.take(megabytes * MEGABYTE);
  share.evict = () => share.release();
  return share;
}

test('should refuse a large share beyond three quarters of the budget', () => {
  const budget = new MemoryBudget(4);
  expect(budget.share().take(3 * MEGABYTE)).toEqual(true);
  expect(budget.share().take(MEGABYTE)).toEqual(false);
  expect(budget.bytes).toEqual(3 * MEGABYTE);
});

test('should keep room for small shares', () => {
  const budget = new MemoryBudget(4);
  budget.share().take(3 * MEGABYTE);
  expect(budget.share().take(10_000)).toEqual(true);
});

test('should evict the largest share first', () => {
  const budget = new MemoryBudget(8);
  const shares = [2, 3, 1].map((megabytes) => evictable(budget, megabytes));
  expect(budget.share().take(MEGABYTE)).toEqual(true);
  expect(shares.map(({ bytes }) => bytes / MEGABYTE)).toEqual([2, 0, 1]);
});

test('should not evict smaller shares for a large one', () => {
  const budget = new MemoryBudget(4);
  const smaller = evictable(budget, 1);
  expect(budget.share().take(2.5 * MEGABYTE)).toEqual(false);
  expect(smaller.bytes).toEqual(MEGABYTE);
});

test('should not evict shares that nobody can take back', () => {
  const budget = new MemoryBudget(1);
  for (let count = 0; count < 16; count++) budget.share().take(64 * 1024);
  expect(budget.share().take(1)).toEqual(false);
});

/** Guards against bytes that stay counted, or are counted twice, when an answer ends after its request. */
test('should count nothing after the release', () => {
  const budget = new MemoryBudget(1);
  const share = budget.share();
  share.take(1_000);
  share.release();
  share.give(1_000);
  expect([share.take(500), budget.bytes]).toEqual([false, 0]);
});

/** Returns the collections that `use` leads to in a process with a budget of 16 MB. */
function collectionsOf(processMegabytes: number, use: (reclaimer: Reclaimer) => void): Collection[] {
  const collections: Collection[] = [];
  const processBytes = (): number => processMegabytes * MEGABYTE;
  use(new Reclaimer(16 * MEGABYTE, { processBytes, collect: (type) => void collections.push(type) }));
  return collections;
}

test('should collect garbage when large requests have given back much', () => {
  const collections = collectionsOf(20, (reclaimer) => {
    for (let count = 0; count < 8; count++) reclaimer.onTaken(MEGABYTE, true);
    reclaimer.onFreed(8 * MEGABYTE);
  });
  expect(collections).toEqual(['minor', 'major']);
});

test('should collect garbage when small requests fill the process', () => {
  const take = (reclaimer: Reclaimer): void => reclaimer.onTaken(8 * MEGABYTE, false);
  expect([20, 60].map((megabytes) => collectionsOf(megabytes, take))).toEqual([[], ['major']]);
});

test('should collect garbage once when little of much memory is left', () => {
  const collections = collectionsOf(20, (reclaimer) => {
    for (const megabytes of [9, 4, 2, 2, 0, 0]) reclaimer.check(megabytes * MEGABYTE);
  });
  expect(collections).toEqual(['major']);
});
