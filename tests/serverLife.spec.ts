/** Servers that start again under their id: which life a word is about, and that nothing of a former life is believed. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { BoxStatus } from '../src/protocol/boxMessages.js';
import type { BackendServerRecord } from '../src/serving/backendServerRecord.js';
import { ServerLife, judgeLife, supersededServers } from '../src/serving/serverLife.js';
import type { LifeJudgement, LifeSource } from '../src/serving/serverLife.js';
import type { TrackedServer } from '../src/serving/trackedServer.js';
import { hasRestarted } from '../src/staging/backendRun.js';
import { ServerPool } from '../src/serving/serverPool.js';
import { ManualClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';
import { notedLog } from './fixtures/notedLog.js';
import { servingSignals } from './fixtures/servingSignals.js';

for (const [what, current, toldBefore, told, judgement] of [
  ['the first word', 0, 0, 100, 'same'],
  ['nothing told', 100, 100, 0, 'same'],
  ['the same again', 100, 100, 100, 'same'],
  ['a later start of who knew the present one', 100, 100, 200, 'another'],
  ['a later start of a source that says something for the first time', 100, 0, 200, 'another'],
  ['a source that is behind and repeats itself', 200, 100, 100, 'former'],
  ['a source that is behind and says something for the first time', 200, 0, 100, 'former'],
  ['a source that catches up', 200, 100, 200, 'same'],
  ['a start by a clock that was set back, of who knew the present one', 200, 200, 150, 'another'],
  ['two starts between two words', 100, 100, 300, 'another'],
  ['a source that skips the life that the other told of', 200, 100, 300, 'another'],
] as const) {
  test(`should judge ${what} as ${judgement}`, () => {
    expect(judgeLife({ current, toldBefore, told })).toEqual(judgement);
  });
}

test('should follow two sources that tell of starts one after the other, in any order and over a clock set back', () => {
  const words: [LifeSource, number, LifeJudgement][] = [
    ['discovery', 100, 'same'],
    ['agent', 100, 'same'],
    ['agent', 200, 'another'],
    ['discovery', 100, 'former'],
    ['discovery', 200, 'same'],
    ['discovery', 150, 'another'],
    ['agent', 200, 'former'],
    ['agent', 150, 'same'],
    ['agent', 400, 'another'],
    ['discovery', 300, 'former'],
    ['discovery', 400, 'same'],
  ];
  const life = new ServerLife();
  expect(words.map(([source, told]) => life.judge(source, told))).toEqual(
    words.map(([, , judged]) => judged),
  );
});

for (const [what, before, now, isAnother] of [
  ['the same start', [5, 3], [5, 4], false],
  ['a later start with the same number of orders', [5, 0], [9, 0], true],
  ['an earlier start, by a clock set back', [5, 1], [4, 1], true],
  ['fewer orders where no start is told', [0, 3], [0, 0], true],
  ['more orders where no start is told', [0, 3], [0, 4], false],
  ['a start that is told for the first time', [0, 2], [7, 2], false],
] as const) {
  test(`should ${isAnother ? '' : 'not '}take ${what} for another life`, () => {
    const signs = ([startedAt, revision]: readonly [number, number]) => ({ startedAt, revision });
    expect(hasRestarted(signs(before), signs(now))).toEqual(isAnother);
  });
}

const HOST = '127.0.0.1';

function record(startedAt: number, changes: Partial<BackendServerRecord> = {}): BackendServerRecord {
  const place = { address: `${HOST}:1`, dataCentre: 'north', slots: 8, draining: false };
  return { id: 'i-1', startedAt, service: 'chat', ...place, models: [{ name: 'm', version: 2 }], ...changes };
}

function status(startedAt: number | undefined, version: number): BoxStatus {
  const load = { running: 0, queued: 0, slowLink: false };
  return {
    type: 'box-status',
    state: version > 0 ? 'serving' : 'empty',
    model: 'm',
    version,
    ...load,
    startedAt,
  };
}

function poolFixture() {
  const clock = new ManualClock();
  clock.advance(10_000);
  const noted = notedLog();
  const pool = new ServerPool({
    dataCentre: 'north',
    clock,
    random: new SeededRandom(1),
    log: noted.log,
    signals: servingSignals(clock),
    service: () => undefined,
    entries: () => 1,
    entriesNear: () => 1,
    isRouted: () => true,
  });
  return { pool, steps: noted.steps, server: (): TrackedServer => pool.all()[0] };
}

test('should believe nothing of a server whose agent tells of another start', () => {
  const { pool, server, steps } = poolFixture();
  pool.update([record(100)]);
  pool.noteStatus(HOST, status(100, 2));
  const former = server();
  former.noteSent(3);
  former.health.note('silent');
  pool.noteStatus(HOST, status(200, 0));
  expect([server().version('m'), server().unread, server().health.avoided]).toEqual([0, 0, false]);
  expect(former.version('m')).toEqual(2);
  expect(steps().filter((step) => step === 'server.started-again').length).toEqual(1);
});

test('should not take the versions of a former life from an entry that is behind', () => {
  const { pool, server } = poolFixture();
  pool.update([record(100)]);
  pool.noteStatus(HOST, status(200, 0));
  pool.update([record(100, { slots: 9 })]);
  expect([server().version('m'), server().record.slots]).toEqual([0, 9]);
  pool.update([record(200, { models: [{ name: 'm', version: 1 }] })]);
  expect(server().version('m')).toEqual(1);
});

test('should not take the status of a former life from an agent that is behind', () => {
  const { pool, server } = poolFixture();
  pool.update([record(100)]);
  pool.noteStatus(HOST, status(100, 2));
  pool.update([record(200, { models: [] })]);
  expect(server().version('m')).toEqual(0);
  pool.noteStatus(HOST, status(100, 2));
  expect([server().version('m'), server().statusAge]).toEqual([0, undefined]);
});

test('should let a former life drain that is told to leave, and not the present one begin anew', () => {
  const { pool, server, steps } = poolFixture();
  pool.update([record(100)]);
  pool.noteStatus(HOST, status(200, 0));
  pool.update([record(100, { draining: true })]);
  expect(server().record.draining).toEqual(true);
  expect(steps().includes('server.draining')).toEqual(true);
});

test('should not raise a version by an entry that says nothing new, once the agent has told of its loss', () => {
  const { pool, server } = poolFixture();
  const entry = record(0);
  pool.update([entry]);
  pool.noteStatus(HOST, status(undefined, 0));
  pool.update([entry]);
  expect(server().version('m')).toEqual(0);
});

test('should reach a server that starts again at another address there', () => {
  const { pool, server } = poolFixture();
  pool.update([record(100)]);
  const former = server();
  pool.update([record(200, { address: '127.0.0.2:1' })]);
  expect(server().host).toEqual('127.0.0.2');
  expect([former.connections.acquire() === undefined, server().connections.available]).toEqual([true, true]);
});

test('should use a server no longer whose entry cannot be understood, also while the list is doubtful', () => {
  const { pool } = poolFixture();
  pool.update([record(100), record(100, { id: 'i-2' })]);
  pool.update([record(100, { id: 'i-2' })], { doubtful: true, unusable: new Set(['i-1']) });
  expect(pool.all().map((server) => server.record.id)).toEqual(['i-2']);
});

for (const [what, former, later] of [
  ['a later start', { startedAt: 100, revision: 9 }, { startedAt: 200, revision: 5 }],
  ['a later change, where starts are not told', { startedAt: 0, revision: 5 }, { startedAt: 0, revision: 9 }],
  [
    'a later change, where only one start is told',
    { startedAt: 100, revision: 5 },
    { startedAt: 0, revision: 9 },
  ],
] as const) {
  test(`should know of two servers at one address the one that lives by ${what}`, () => {
    const listed = [
      { record: record(former.startedAt, { id: 'former' }), revision: former.revision },
      { record: record(later.startedAt, { id: 'later' }), revision: later.revision },
      { record: record(50, { id: 'other', address: '127.0.0.9:1' }), revision: 1 },
    ];
    expect(supersededServers(listed)).toEqual(['former']);
    expect(supersededServers(listed.reverse())).toEqual(['former']);
  });
}

test('should use a server no longer that is superseded, also while the list is doubtful', () => {
  const { pool } = poolFixture();
  pool.update([record(100)]);
  pool.update([record(200, { id: 'i-2' })], { doubtful: true, unusable: new Set(['i-1']) });
  expect(pool.all().map((server) => server.record.id)).toEqual(['i-2']);
});
