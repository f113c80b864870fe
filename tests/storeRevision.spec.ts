/** The order of a store's revisions across rollbacks to an older snapshot. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  LAST_GENERATION,
  generationOf,
  orderedRevision,
  startOfGeneration,
  storeRevisionOf,
} from '../src/records/storeRevision.js';

test('should order each revision of a generation after all of the generation before', () => {
  const last = orderedRevision({ generation: 1, number: 9_000_000_000 });
  const first = orderedRevision({ generation: 2, number: 1 });
  expect(first).toBeGreaterThan(last);
  expect(first).toBeGreaterThan(startOfGeneration(first));
  expect(startOfGeneration(first)).toBeGreaterThan(last);
});

test('should decode what it has encoded', () => {
  const revision = { generation: LAST_GENERATION, number: 2 ** 40 - 1 };
  expect(storeRevisionOf(orderedRevision(revision))).toEqual(revision);
  expect(Number.isSafeInteger(orderedRevision(revision))).toEqual(true);
});

test('should leave revisions unchanged in generation 0', () => {
  expect([orderedRevision({ generation: 0, number: 7 }), generationOf(7)]).toEqual([7, 0]);
});
