/** When the link of a box counts as narrow, so that requests of older versions keep away from it. */
import { test } from 'node:test';
import { expect } from 'earl';
import { isNarrowLink } from '../src/staging/narrowLink.js';

const STARTED_AT = 10_000;
/** Takes 1,000 bytes a millisecond when it is well. */
const RATE = 1_000_000;

function transfer(receivedBytes: number, completedAt = Number.POSITIVE_INFINITY) {
  return { startedAt: STARTED_AT, completedAt, receivedBytes, bytesPerSecond: RATE };
}

test('should call a link narrow on which chunks come at a third of its rate', () => {
  expect(isNarrowLink(transfer(660_000), STARTED_AT + 2_000)).toEqual(true);
  expect(isNarrowLink(transfer(800_000), STARTED_AT + 2_000)).toEqual(false);
});

test('should not judge a link by less than a second', () => {
  expect(isNarrowLink(transfer(0), STARTED_AT + 999)).toEqual(false);
  expect(isNarrowLink(transfer(0), STARTED_AT + 1_000)).toEqual(true);
});

test('should take a link that was narrow to stay so for four seconds after the last chunk', () => {
  const completedAt = STARTED_AT + 5_000;
  const slow = transfer(1_500_000, completedAt);
  expect(isNarrowLink(slow, completedAt)).toEqual(true);
  expect(isNarrowLink(slow, completedAt + 4_000)).toEqual(true);
  expect(isNarrowLink(slow, completedAt + 4_001)).toEqual(false);
});

test('should judge a whole version by the time that it took, not by the time since', () => {
  const completedAt = STARTED_AT + 2_000;
  expect(isNarrowLink(transfer(1_900_000, completedAt), completedAt + 3_900)).toEqual(false);
});
