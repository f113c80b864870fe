/** Replays arrivals on a virtual clock, with both admission policies. The bounds are the targets of docs/design/hard-load.md. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { AdmissionKind } from '../src/admission/admissionPolicy.js';
import { createAdmissionPolicy } from '../src/admission/createAdmissionPolicy.js';
import type { Caller, Replay } from './fixtures/admissionModel.js';
import { AdmissionModel, inTimeOfRun, inTimeShare } from './fixtures/admissionModel.js';

function play(kind: AdmissionKind, replay: Omit<Replay, 'policy'>): Caller[] {
  return new AdmissionModel({ ...replay, policy: (random) => createAdmissionPolicy(kind, random) }).run();
}

/** Callers whose first attempt was in this interval, in seconds. */
function between(callers: readonly Caller[], from: number, to: number): Caller[] {
  return callers.filter(({ arrivedAt }) => arrivedAt >= from * 1_000 && arrivedAt < to * 1_000);
}

test('should answer most running requests in time under a lasting demand of 1.2 times the capacity', () => {
  const lasting = { seconds: 17, demand: () => 1.2 };
  const [today, onTimeFirst] = (['arrival-order', 'on-time-first'] as const).map((kind) =>
    between(play(kind, lasting), 4, 15),
  );
  expect(inTimeOfRun(today) < 0.5).toEqual(true);
  expect(inTimeShare(onTimeFirst) > 2 * inTimeShare(today)).toEqual(true);
  expect(inTimeOfRun(onTimeFirst)).toBeGreaterThanOrEqual(0.9);
});
