/** Versions that agents forward from one entry to the others. */
import { test } from 'node:test';
import { expect } from 'earl';
import { HeardVersions } from '../src/staging/heardVersions.js';
import { ManualClock } from '../src/utils/clock.js';

function heard(version: number, heardMilliseconds: number) {
  return { model: 'm', version, heardMilliseconds };
}

test('should forward a new version once', () => {
  const versions = new HeardVersions(new ManualClock());
  expect(versions.merge([heard(2, 0)])).toEqual([heard(2, 0)]);
  expect(versions.merge([heard(2, 0), heard(3, 10)])).toEqual([heard(3, 10)]);
});

test('should forward that a version was heard of earlier than known', () => {
  const clock = new ManualClock();
  const versions = new HeardVersions(clock);
  versions.merge([heard(2, 0)]);
  clock.advance(1_000);
  expect(versions.merge([heard(2, 1_050)])).toEqual([]);
  expect(versions.merge([heard(2, 1_500)])).toEqual([heard(2, 1_500)]);
  clock.advance(500);
  expect(versions.all()).toEqual([heard(2, 2_000)]);
});

test('should keep a limited number of versions', () => {
  const versions = new HeardVersions(new ManualClock());
  for (let version = 1; version <= 20; version++) versions.merge([heard(version, 0)]);
  expect(versions.all().map(({ version }) => version)).toEqual(
    Array.from({ length: 16 }, (_, index) => index + 5),
  );
});

test('should not forward a known version again, however many models there are', () => {
  const versions = new HeardVersions(new ManualClock());
  const reported = [1, 2, 3, 4, 5].flatMap((model) =>
    [2, 3, 4, 5].map((version) => ({ model: `m${model}`, version, heardMilliseconds: 0 })),
  );
  versions.merge(reported);
  expect(versions.merge(reported)).toEqual([]);
});
