/** The order of what a store says over its returns from an older copy. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  LAST_ERA,
  eraOf,
  orderedRevision,
  startOfEra,
  storeRevisionOf,
} from '../src/records/storeRevision.js';

test('should put each revision of an era after all of the era before', () => {
  const last = orderedRevision({ era: 1, number: 9_000_000_000 });
  const first = orderedRevision({ era: 2, number: 1 });
  expect(first).toBeGreaterThan(last);
  expect(first).toBeGreaterThan(startOfEra(first));
  expect(startOfEra(first)).toBeGreaterThan(last);
});

test('should tell what the store told', () => {
  const told = { era: LAST_ERA, number: 2 ** 40 - 1 };
  expect(storeRevisionOf(orderedRevision(told))).toEqual(told);
  expect(Number.isSafeInteger(orderedRevision(told))).toEqual(true);
});

test('should leave revisions as they are where no era is told', () => {
  expect([orderedRevision({ era: 0, number: 7 }), eraOf(7)]).toEqual([7, 0]);
});
