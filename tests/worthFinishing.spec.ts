/** Whether a version is finished once a newer one has been named. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { SupersededVersion } from '../src/staging/worthFinishing.js';
import { isWorthFinishing } from '../src/staging/worthFinishing.js';

/** Named 2 s apart, seen just after the newer one was named; a copy takes 3.3 s. */
const NAMED_APART: SupersededVersion = {
  announcedAt: 0,
  newerAnnouncedAt: 2_000,
  now: 2_010,
  switchMilliseconds: 8_000,
  copyMilliseconds: 3_300,
  missingMilliseconds: 1_600,
  availableShare: 1,
  newerAvailableShare: 0,
};

for (const [what, changes, worth] of [
  ['named 2 s before the newer one', {}, true],
  ['named 2 s before, even when the newer one is safe', { newerSeenShare: 1 }, true],
  ['of which the whole fleet holds a copy but this box only a part', { missingMilliseconds: 2_500 }, true],
  [
    'named a moment before',
    { newerNamedAt: 100, now: 110, seenShare: 0.02, missingMilliseconds: 3_200 },
    false,
  ],
  ['named 1 s before, while the newer one could be lost', { newerNamedAt: 1_000, now: 1_100 }, true],
  [
    'named 1 s before, once the newer one is safe',
    { newerNamedAt: 1_000, now: 2_800, newerSeenShare: 1 },
    false,
  ],
  ['that cannot serve before the newer one must', { now: 7_400, missingMilliseconds: 1_200 }, false],
  ['that can still serve for some seconds', { now: 5_000, missingMilliseconds: 1_200 }, true],
] as const) {
  test(`should ${worth ? 'finish' : 'drop'} a version ${what}`, () => {
    expect(isWorthFinishing({ ...NAMED_APART, ...changes })).toEqual(worth);
  });
}
