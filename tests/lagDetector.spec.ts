/** When a copy counts as behind that of another source. */
import { test } from 'node:test';
import { expect } from 'earl';
import { LagDetector } from '../src/records/lagDetector.js';

test('should notice a change that the copy lacks for too long', () => {
  const lag = new LagDetector();
  expect(lag.exceedsLimit('config', 10, 12, 0)).toEqual(false);
  expect(lag.exceedsLimit('config', 10, 12, 1_000)).toEqual(false);
  expect(lag.exceedsLimit('config', 10, 12, 1_001)).toEqual(true);
});

test('should say so once, and again only after as long', () => {
  const lag = new LagDetector();
  lag.exceedsLimit('config', 10, 12, 0);
  expect(lag.exceedsLimit('config', 10, 12, 2_000)).toEqual(true);
  expect(lag.exceedsLimit('config', 10, 12, 2_100)).toEqual(false);
});

test('should count from the first change that is lacking, and begin anew once that has come', () => {
  const lag = new LagDetector();
  lag.exceedsLimit('config', 10, 12, 0);
  expect(lag.exceedsLimit('config', 10, 15, 1_100)).toEqual(true);
  lag.exceedsLimit('config', 10, 15, 1_200);
  expect(lag.exceedsLimit('config', 15, 16, 2_400)).toEqual(false);
  expect(lag.exceedsLimit('config', 15, 16, 2_500)).toEqual(false);
});

test('should not mind that another source is known to be complete up to a later revision', () => {
  const lag = new LagDetector();
  // the other source has listed at 900, and the newest change that it knows is 7
  expect(lag.exceedsLimit('config', 10, 7, 0)).toEqual(false);
  expect(lag.exceedsLimit('config', 10, 7, 60_000)).toEqual(false);
});

test('should watch each kind apart', () => {
  const lag = new LagDetector();
  lag.exceedsLimit('config', 10, 12, 0);
  expect(lag.exceedsLimit('servers', 10, 12, 2_000)).toEqual(false);
});
