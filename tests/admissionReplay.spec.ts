/**
 * Replays arrivals on a virtual clock, with the policy as it was (`arrival-order`) and the default one. The bounds are
 * the targets of docs/design/hard-load.md; they guard against late work that causes more late work.
 */
import { test } from 'node:test';
import { expect } from 'earl';
import type { AdmissionKind } from '../src/admission/admissionPolicy.js';
import { createAdmissionPolicy } from '../src/admission/createAdmissionPolicy.js';
import type { Caller, Replay } from './fixtures/admissionModel.js';
import { AdmissionModel, inTimeOfRun, inTimeShare } from './fixtures/admissionModel.js';

type Arrivals = Omit<Replay, 'policy'>;

const KINDS = ['arrival-order', 'on-time-first'] as const;
/** Shares of the three ranks of deployment M among its requests. */
const RANK_SHARES = [0.33, 0.39, 0.28];
const USUAL = 0.75;
/** A surge, or a loss of servers, lasts from `SURGE_FROM` to `SURGE_TO`, in seconds. */
const SURGE_FROM = 6;
const SURGE_TO = 9;
const RECOVERY_SECONDS = 3;
const END = 16;

function play(kind: AdmissionKind, arrivals: Arrivals): Caller[] {
  return new AdmissionModel({ ...arrivals, policy: (random) => createAdmissionPolicy(kind, random) }).run();
}

/** Callers whose first attempt was in this interval, in seconds. */
function between(callers: readonly Caller[], from: number, to: number): Caller[] {
  return callers.filter(({ arrivedAt }) => arrivedAt >= from * 1_000 && arrivedAt < to * 1_000);
}

function isSurge(second: number): boolean {
  return second >= SURGE_FROM && second < SURGE_TO;
}

/** Share of the callers in time from the end of the recovery on, relative to that before the surge. */
function recovered(callers: readonly Caller[]): number {
  return (
    inTimeShare(between(callers, SURGE_TO + RECOVERY_SECONDS, END)) /
    inTimeShare(between(callers, 2, SURGE_FROM))
  );
}

test('should answer most running requests in time under a lasting demand of 1.2 times the capacity', () => {
  const lasting = { seconds: 17, demand: (): number => 1.2 };
  const [asItWas, onTimeFirst] = KINDS.map((kind) => between(play(kind, lasting), 4, 15));
  expect(inTimeOfRun(asItWas) < 0.5).toEqual(true);
  expect(inTimeOfRun(onTimeFirst)).toBeGreaterThanOrEqual(0.9);
  expect(inTimeShare(onTimeFirst) > 2 * inTimeShare(asItWas)).toEqual(true);
});

for (const peak of [1.2, 1.5, 2, 3]) {
  test(`should be back to the usual within 3 s of a surge of ${peak} times the capacity`, () => {
    const surge = { seconds: END, demand: (second: number): number => (isSurge(second) ? peak : USUAL) };
    const [asItWas, onTimeFirst] = KINDS.map((kind) => play(kind, surge));
    expect(recovered(onTimeFirst)).toBeGreaterThanOrEqual(0.95);
    expect(inTimeShare(onTimeFirst) > inTimeShare(asItWas)).toEqual(true);
  });
}

test('should be back to the usual within 3 s after half of the servers were lost and came back', () => {
  const loss = {
    seconds: END,
    demand: () => USUAL,
    running: (second: number) => (isSurge(second) ? 0.5 : 1),
  };
  const [asItWas, onTimeFirst] = KINDS.map((kind) => play(kind, loss));
  expect(recovered(onTimeFirst)).toBeGreaterThanOrEqual(0.95);
  expect(inTimeShare(onTimeFirst) > inTimeShare(asItWas)).toEqual(true);
});

test('should be back to the usual within 3 s of a crowd that is rejected at once and retries', () => {
  const crowd = {
    seconds: END,
    demand: (second: number): number => (second >= 8.7 && second < SURGE_TO ? 8 : 0.7),
  };
  const [asItWas, onTimeFirst] = KINDS.map((kind) => play(kind, crowd));
  expect(recovered(onTimeFirst)).toBeGreaterThanOrEqual(0.95);
  expect(inTimeShare(onTimeFirst) > inTimeShare(asItWas)).toEqual(true);
});

/** A surge of one rank, which the other ranks do not have a part in. */
function rankSurge(surging: number): Arrivals {
  const demand = (second: number, rank: number): number =>
    USUAL * RANK_SHARES[rank] + (rank === surging && isSurge(second) ? 1 : 0);
  return { seconds: END, ranks: 3, demand };
}

/** Shares of the callers in time, by rank. */
function byRank(callers: readonly Caller[]): number[] {
  return RANK_SHARES.map((_share, rank) => inTimeShare(callers.filter((caller) => caller.rank === rank)));
}

for (const surging of [0, 2]) {
  test(`should be back to the usual within 3 s of a surge of rank ${surging}`, () => {
    expect(recovered(play('on-time-first', rankSurge(surging)))).toBeGreaterThanOrEqual(0.95);
  });
}

test('should protect urgent ranks from a surge of the least urgent one', () => {
  const [asItWas, onTimeFirst] = KINDS.map((kind) => byRank(between(play(kind, rankSurge(2)), 6, 9)));
  expect(onTimeFirst[0] > 1.4 * onTimeFirst[2]).toEqual(true);
  expect(onTimeFirst[0] > 1.5 * asItWas[0]).toEqual(true);
});

/** Smallest share of the callers in time of a group, relative to that of all others. */
function worstGroup(callers: readonly Caller[], groupOf: (caller: Caller) => number): number {
  const groups = new Set(callers.map(groupOf));
  const ratios = [...groups].map((group) => {
    const [own, others] = [true, false].map((isOwn) =>
      callers.filter((caller) => (groupOf(caller) === group) === isOwn),
    );
    return inTimeShare(own) / inTimeShare(others);
  });
  return Math.min(...ratios);
}

for (const [name, arrivals] of [
  ['a lasting demand of 1.2', { seconds: 20, ranks: 3, demand: (_second, rank) => 1.2 * RANK_SHARES[rank] }],
  ['a lasting demand of 2', { seconds: 20, ranks: 3, demand: (_second, rank) => 2 * RANK_SHARES[rank] }],
  ['a surge of the highest rank', rankSurge(0)],
] as const satisfies readonly (readonly [string, Arrivals])[]) {
  test(`should leave no route, size, customer or data centre under half of the rest: ${name}`, () => {
    const callers = between(play('on-time-first', arrivals), 4, 16);
    const largest = [...callers].sort((a, b) => b.size - a.size)[Math.floor(callers.length / 10)].size;
    const groups = [
      ({ rank }: Caller) => rank,
      ({ size }: Caller) => Number(size >= largest),
      ({ customer }: Caller) => customer,
      ({ dataCentre }: Caller) => dataCentre,
    ];
    for (const groupOf of groups) expect(worstGroup(callers, groupOf)).toBeGreaterThanOrEqual(0.5);
  });
}
