/** Whether a version is finished after a newer one has been announced. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { SupersededVersion } from '../src/staging/worthFinishing.js';
import { isWorthFinishing } from '../src/staging/worthFinishing.js';

/** Versions announced 2 s apart, judged just after the newer one was announced. A copy takes 3.3 s. */
const ANNOUNCED_2_S_APART: SupersededVersion = {
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
  ['announced 2 s before the newer one', {}, true],
  [
    'announced 2 s before, even when the newer one no longer depends on the origin',
    { newerAvailableShare: 1 },
    true,
  ],
  [
    'of which the boxes together have all chunks but this box only a part',
    { missingMilliseconds: 2_500 },
    true,
  ],
  [
    'announced a moment before',
    { newerAnnouncedAt: 100, now: 110, availableShare: 0.02, missingMilliseconds: 3_200 },
    false,
  ],
  [
    'announced 1 s before, while the newer one still depends on the origin',
    { newerAnnouncedAt: 1_000, now: 1_100 },
    true,
  ],
  [
    'announced 1 s before, once the newer one no longer depends on the origin',
    { newerAnnouncedAt: 1_000, now: 2_800, newerAvailableShare: 1 },
    false,
  ],
  ['that cannot serve before the newer one has to', { now: 7_400, missingMilliseconds: 1_200 }, false],
  ['that can still serve for some seconds', { now: 5_000, missingMilliseconds: 1_200 }, true],
] as const) {
  test(`should ${worth ? 'finish' : 'drop'} a version ${what}`, () => {
    expect(isWorthFinishing({ ...ANNOUNCED_2_S_APART, ...changes })).toEqual(worth);
  });
}
