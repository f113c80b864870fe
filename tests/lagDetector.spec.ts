/** When a copy counts as lagging behind that of another source. */
import { test } from 'node:test';
import { expect } from 'earl';
import { LagDetector } from '../src/records/lagDetector.js';

test('should detect a change that the copy has lacked for too long', () => {
  const detector = new LagDetector();
  expect(detector.exceedsLimit('config', 10, 12, 0)).toEqual(false);
  expect(detector.exceedsLimit('config', 10, 12, 1_000)).toEqual(false);
  expect(detector.exceedsLimit('config', 10, 12, 1_001)).toEqual(true);
});

test('should report a lag once, and again only after the same time', () => {
  const detector = new LagDetector();
  detector.exceedsLimit('config', 10, 12, 0);
  expect(detector.exceedsLimit('config', 10, 12, 2_000)).toEqual(true);
  expect(detector.exceedsLimit('config', 10, 12, 2_100)).toEqual(false);
});

test('should measure from the first missing change, and start again once that has arrived', () => {
  const detector = new LagDetector();
  detector.exceedsLimit('config', 10, 12, 0);
  expect(detector.exceedsLimit('config', 10, 15, 1_100)).toEqual(true);
  detector.exceedsLimit('config', 10, 15, 1_200);
  expect(detector.exceedsLimit('config', 15, 16, 2_400)).toEqual(false);
  expect(detector.exceedsLimit('config', 15, 16, 2_500)).toEqual(false);
});

test('should ignore that another source is complete up to a later revision', () => {
  const detector = new LagDetector();
  // the other source has listed at revision 900, but the newest change that it has is 7
  expect(detector.exceedsLimit('config', 10, 7, 0)).toEqual(false);
  expect(detector.exceedsLimit('config', 10, 7, 60_000)).toEqual(false);
});

test('should track each kind separately', () => {
  const detector = new LagDetector();
  detector.exceedsLimit('config', 10, 12, 0);
  expect(detector.exceedsLimit('servers', 10, 12, 2_000)).toEqual(false);
});
