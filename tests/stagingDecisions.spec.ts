/** Decisions of an agent: which box downloads which chunk, and which box switches when. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { LocalBackendStatus } from '../src/staging/localBackend.js';
import { pollInterval, roundInterval } from '../src/staging/pollInterval.js';
import type { Member } from '../src/protocol/rolloutMessages.js';
import {
  ORIGIN_FETCH_TURN_MILLISECONDS,
  OriginFetchProgress,
  originFetchOrder,
  originFetcherOf,
  initialOriginFetchers,
  replaceLostOriginFetchers,
  scarceFetchOrder,
} from '../src/staging/originFetchSchedule.js';
import type { SwitchPeer, SwitchSituation } from '../src/staging/switchTurn.js';
import { mayOrder, maySwitch } from '../src/staging/switchTurn.js';
import { membersOf } from './fixtures/memberFixture.js';

const DATA_CENTRES = ['north', 'south', 'west'];
const CHUNKS = 48;

function members(count: number): Member[] {
  return membersOf(count, DATA_CENTRES);
}

test('should compute the same order from members in any order', () => {
  const forward = originFetchOrder('r', members(14));
  expect(originFetchOrder('r', members(14).reverse())).toEqual(forward);
  expect(new Set(forward).size).toEqual(14);
});

test('should share the downloads evenly', () => {
  const order = originFetchOrder('r', members(14));
  const counts = new Map<string, number>();
  for (let chunk = 0; chunk < CHUNKS; chunk++) {
    const downloader = originFetcherOf(order, chunk, 0) ?? '';
    counts.set(downloader, (counts.get(downloader) ?? 0) + 1);
  }
  expect(Math.max(...counts.values()) - Math.min(...counts.values())).toBeLessThanOrEqual(1);
});

test('should give every chunk one downloader at a time, and another one in each turn', () => {
  const order = originFetchOrder('r', members(5));
  const downloaders = Array.from({ length: 5 }, (_unused, turn) =>
    originFetcherOf(order, 3, turn * ORIGIN_FETCH_TURN_MILLISECONDS),
  );
  expect(new Set(downloaders).size).toEqual(5);
});

for (const [boxes, moved] of [
  [54, 4],
  [12, 4],
  [9, 6],
] as const) {
  test(`should reassign only the chunks of the lost box, of ${boxes} boxes`, () => {
    const order = originFetchOrder('r', members(boxes));
    for (const lost of initialOriginFetchers(order)) {
      const after = replaceLostOriginFetchers(order, new Set([lost]));
      const chunks = Array.from({ length: CHUNKS }, (_unused, chunk) => chunk);
      const changed = chunks.filter(
        (chunk) => originFetcherOf(order, chunk, 0) !== originFetcherOf(after, chunk, 0),
      );
      expect(changed.length).toBeLessThanOrEqual(moved);
      expect(changed.every((chunk) => originFetcherOf(order, chunk, 0) === lost)).toEqual(true);
      expect(after.includes(lost)).toEqual(false);
    }
  });
}

test('should leave no chunk without a downloader while any box is reachable', () => {
  const order = originFetchOrder('r', members(14));
  for (let lost = 0; lost < order.length; lost++) {
    const after = replaceLostOriginFetchers(order, new Set(order.slice(0, lost)));
    const downloaders = Array.from(
      { length: CHUNKS },
      (_unused, chunk) => originFetcherOf(after, chunk, 0) ?? '',
    );
    expect(downloaders.every((box) => order.indexOf(box) >= lost)).toEqual(true);
  }
  expect(originFetcherOf(replaceLostOriginFetchers(order, new Set(order)), 0, 0)).toEqual(undefined);
});

test('should share the chunks of a lost downloader among the others if there is no substitute', () => {
  const order = originFetchOrder('r', members(9));
  const after = replaceLostOriginFetchers(order, new Set([order[2]]));
  const chunks = Array.from({ length: CHUNKS }, (_unused, chunk) => chunk);
  const moved = chunks.filter((chunk) => originFetcherOf(order, chunk, 0) === order[2]);
  expect(new Set(moved.map((chunk) => originFetcherOf(after, chunk, 0))).size).toEqual(moved.length);
});

test('should let few boxes of a large service download at first, and any box once those seem to be gone', () => {
  const order = originFetchOrder('r', members(54));
  const downloadersAfter = (turns: number): Set<string | undefined> =>
    new Set(
      Array.from({ length: CHUNKS }, (_unused, chunk) =>
        originFetcherOf(order, chunk, turns * ORIGIN_FETCH_TURN_MILLISECONDS),
      ),
    );
  expect([...downloadersAfter(0)].sort()).toEqual(initialOriginFetchers(order).sort());
  expect(downloadersAfter(0).size).toEqual(12);
  expect(downloadersAfter(3).size).toEqual(48);
});

test('should reassign the chunks of a box that finishes nothing, but not those of a slow one', () => {
  const order = originFetchOrder('r', members(4));
  const progress = new OriginFetchProgress(8, 0);
  const assignedTo = (box: string): number[] =>
    Array.from({ length: 8 }, (_unused, chunk) => chunk).filter(
      (chunk) => originFetcherOf(order, chunk, 0) === box,
    );
  const [slow] = order;
  const [first, second] = assignedTo(slow);
  const unseen = Array.from({ length: 8 }, (_unused, chunk) => chunk).filter((chunk) => chunk !== first);
  progress.update(order, unseen, 800);
  const downloaderAt = (chunk: number, now: number): string | undefined =>
    originFetcherOf(order, chunk, progress.millisecondsWithoutProgress(order, chunk, now));
  expect(downloaderAt(second, 1_500)).toEqual(slow);
  const [dead] = order.slice(1);
  const [pending] = assignedTo(dead);
  expect(downloaderAt(pending, 800)).toEqual(dead);
  expect(downloaderAt(pending, 1_000)).not.toEqual(dead);
});

// Guards against a data centre that waits for a chunk of a throttled box elsewhere while boxes have the turn that do not
// know of it.
test('should let only boxes fetch scarce chunks again that know the holders in other data centres', () => {
  const all = members(36);
  const north = new Set(all.filter(({ dataCentre }) => dataCentre === 'north').map(({ box }) => box));
  const order = scarceFetchOrder('r', all, 'north');
  const gateways = originFetchOrder('r', all).slice(0, 3 * 8);
  expect(order.length).toEqual(8);
  expect(order.every((box) => north.has(box) && gateways.includes(box))).toEqual(true);
});

test('should have no downloader without members', () => {
  expect(originFetcherOf([], 1, 0)).toEqual(undefined);
});

function peers(
  count: number,
  phase: SwitchPeer['phase'],
  first = 1,
  phaseMilliseconds = 1_000,
): SwitchPeer[] {
  return Array.from({ length: count }, (_unused, index) => ({
    box: `box-${first + index}`,
    phase,
    phaseMilliseconds,
  }));
}

function situation(changes: Partial<SwitchSituation>): SwitchSituation {
  const order = Array.from({ length: 15 }, (_unused, index) => `box-${index}`);
  return { box: 'box-0', peers: peers(14, 'staging'), order, leftMilliseconds: 4_000, ...changes };
}

test('should begin if it is first in order', () => {
  expect(maySwitch(situation({}))).toEqual(true);
});

test('should wait for an earlier box that has staged the version', () => {
  const waiting = situation({ box: 'box-5', peers: peers(1, 'staged', 2, 300) });
  expect(maySwitch(waiting)).toEqual(false);
});

test('should begin if an earlier box misses its turn', () => {
  const others = peers(10, 'staging', 6);
  const missed = [...peers(1, 'staged', 2, 1_500), ...peers(1, 'switching', 1, 800), ...others];
  expect(maySwitch(situation({ box: 'box-5', peers: missed }))).toEqual(true);
  const recent = [...peers(1, 'staged', 2, 1_500), ...peers(1, 'preparing', 1, 300), ...others];
  expect(maySwitch(situation({ box: 'box-5', peers: recent }))).toEqual(false);
});

test('should not wait for an earlier box that has not staged the version', () => {
  expect(maySwitch(situation({ box: 'box-5', peers: peers(4, 'staging') }))).toEqual(true);
});

test('should keep most boxes in service', () => {
  const full = situation({
    peers: [...peers(3, 'switching'), ...peers(2, 'preparing', 4), ...peers(9, 'staging', 6)],
  });
  expect(maySwitch(full)).toEqual(false);
  const room = situation({ peers: [...peers(4, 'switching'), ...peers(10, 'staging', 5)] });
  expect(maySwitch(room)).toEqual(true);
});

test('should let fewer boxes switch at the same time if there is more time left', () => {
  const others = [...peers(2, 'switching'), ...peers(4, 'staging', 3), ...peers(8, 'serving', 7)];
  expect(maySwitch(situation({ peers: others, leftMilliseconds: 5_000 }))).toEqual(false);
  expect(maySwitch(situation({ peers: others, leftMilliseconds: 3_000 }))).toEqual(true);
});

test('should not wait for a box whose turn is stuck', () => {
  const stuck = [...peers(5, 'switching', 1, 4_000), ...peers(9, 'staging', 6)];
  expect(maySwitch(situation({ peers: stuck }))).toEqual(true);
});

test('should begin some time after the previous box', () => {
  const others = [...peers(1, 'preparing', 1, 20), ...peers(13, 'staging', 2)];
  expect(maySwitch(situation({ peers: others }))).toEqual(false);
});

test('should begin whatever the others do when time runs out', () => {
  expect(maySwitch(situation({ peers: peers(14, 'switching'), leftMilliseconds: 1_200 }))).toEqual(true);
});

test('should begin if there are no other boxes', () => {
  expect(maySwitch(situation({ peers: [], order: ['box-0'] }))).toEqual(true);
});

for (const [what, noticeMilliseconds, waiting, may] of [
  ['whose entries may not have received the notice', 70, 0, false],
  ['with requests that have not begun', 200, 1, false],
  ['without requests that have not begun', 110, 0, true],
  ['whose entries were notified long enough ago', 300, 3, true],
] as const) {
  test(`should ${may ? 'order' : 'not yet order'} a server ${what}`, () => {
    expect(mayOrder({ noticeMilliseconds, waiting })).toEqual(may);
  });
}

function statusOf(running: number): LocalBackendStatus {
  return { versions: new Map(), busy: false, revision: 0, running, queued: 0, startedAt: 0 };
}

test('should poll an idle server less often, unless it is about to switch', () => {
  const usual = pollInterval('serving', statusOf(1));
  expect(pollInterval('serving', statusOf(0))).toBeGreaterThan(usual);
  expect(pollInterval('staged', statusOf(0))).toEqual(usual);
  expect(pollInterval('serving', undefined)).toEqual(usual);
  expect(pollInterval('switching', statusOf(0))).toBeLessThan(usual);
});

/** Guards against a status that gets older than the poll interval, and against rounds that nothing needs. */
test('should wait for the next poll while serving, and no longer than usual otherwise', () => {
  const interval = pollInterval('serving', statusOf(0));
  expect(roundInterval('serving', statusOf(0), 0)).toEqual(interval);
  expect(roundInterval('serving', statusOf(0), interval - 20)).toEqual(20);
  expect(roundInterval('serving', statusOf(0), 2 * interval)).toEqual(1);
  expect(roundInterval('staging', statusOf(0), 0)).toEqual(pollInterval('staging', statusOf(0)));
  expect(roundInterval('staged', statusOf(0), 0)).toBeLessThan(pollInterval('staged', statusOf(0)));
});
