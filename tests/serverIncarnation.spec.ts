/** Tests that restarted servers are recognised, and that state of a former incarnation is dropped. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { BoxStatus } from '../src/protocol/boxMessages.js';
import type { BackendServerRecord } from '../src/serving/backendServerRecord.js';
import { ServerIncarnation, matchIncarnation, supersededServers } from '../src/serving/serverIncarnation.js';
import type { IncarnationMatch, IncarnationSource } from '../src/serving/serverIncarnation.js';
import type { TrackedServer } from '../src/serving/trackedServer.js';
import { hasRestarted } from '../src/staging/backendIncarnation.js';
import { ServerPool } from '../src/serving/serverPool.js';
import { ManualClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';
import { createRecordingLog } from './fixtures/recordingLog.js';
import { EVERYWHERE } from './fixtures/everywhere.js';
import { servingSignals } from './fixtures/servingSignals.js';

for (const [what, current, previouslyReported, reported, match] of [
  ['the first report', 0, 0, 100, 'same'],
  ['an unknown start', 100, 100, 0, 'same'],
  ['the same start again', 100, 100, 100, 'same'],
  ['a later start from a source that knew the current one', 100, 100, 200, 'another'],
  ['a later start in the first report of a source', 100, 0, 200, 'another'],
  ['a source that lags and repeats its report', 200, 100, 100, 'former'],
  ['a source that lags with its first report', 200, 0, 100, 'former'],
  ['a source that catches up', 200, 100, 200, 'same'],
  ['a start by a clock that was set back, from a source that knew the current one', 200, 200, 150, 'another'],
  ['two starts between two reports', 100, 100, 300, 'another'],
  ['a source that skips the incarnation reported by the other', 200, 100, 300, 'another'],
] as const) {
  test(`should classify ${what} as ${match}`, () => {
    expect(matchIncarnation({ current, previouslyReported, reported })).toEqual(match);
  });
}

test('should follow starts reported by two sources, in any order and when the clock is set back', () => {
  const reports: [IncarnationSource, number, IncarnationMatch][] = [
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
  const incarnation = new ServerIncarnation();
  expect(reports.map(([source, reported]) => incarnation.noteStart(source, reported))).toEqual(
    reports.map(([, , match]) => match),
  );
});

for (const [what, before, now, isAnother] of [
  ['the same start', [5, 3], [5, 4], false],
  ['a later start with the same number of orders', [5, 0], [9, 0], true],
  ['an earlier start, by a clock set back', [5, 1], [4, 1], true],
  ['fewer orders without a known start', [0, 3], [0, 0], true],
  ['more orders without a known start', [0, 3], [0, 4], false],
  ['a start that is reported for the first time', [0, 2], [7, 2], false],
] as const) {
  test(`should ${isAnother ? '' : 'not '}take ${what} for another incarnation`, () => {
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
  const recording = createRecordingLog();
  const pool = new ServerPool({
    dataCentre: 'north',
    clock,
    random: new SeededRandom(1),
    log: recording.log,
    signals: servingSignals(clock),
    service: () => undefined,
    permission: EVERYWHERE,
    entries: () => 1,
    entriesInDataCentre: () => 1,
    isRouted: () => true,
  });
  return { pool, steps: recording.steps, server: (): TrackedServer => pool.all()[0] };
}

test('should drop the state of a server when its agent reports another start', () => {
  const { pool, server, steps } = poolFixture();
  pool.update([record(100)]);
  pool.noteStatus(HOST, status(100, 2));
  const former = server();
  former.noteSent(3);
  former.health.noteOutcome('silent');
  pool.noteStatus(HOST, status(200, 0));
  expect([server().version('m'), server().pendingPrompts, server().health.avoided]).toEqual([0, 0, false]);
  expect(former.version('m')).toEqual(2);
  expect(steps().filter((step) => step === 'server.started-again').length).toEqual(1);
});

test('should not apply versions of a former incarnation from a lagging record', () => {
  const { pool, server } = poolFixture();
  pool.update([record(100)]);
  pool.noteStatus(HOST, status(200, 0));
  pool.update([record(100, { slots: 9 })]);
  expect([server().version('m'), server().record.slots]).toEqual([0, 9]);
  pool.noteStatus(HOST, status(200, 1));
  expect(server().version('m')).toEqual(1);
});

test('should not apply a version that a server was ordered to load before its agent confirms it', () => {
  const { pool, server } = poolFixture();
  pool.update([record(100, { ordersTaken: 1 })]);
  expect(server().version('m')).toEqual(0);
  pool.noteStatus(HOST, status(100, 0));
  pool.update([record(100, { models: [{ name: 'm', version: 3 }] })]);
  expect(server().version('m')).toEqual(0);
  pool.noteStatus(HOST, status(100, 3));
  expect(server().version('m')).toEqual(3);
});

test('should not apply the status of a former incarnation from a lagging agent', () => {
  const { pool, server } = poolFixture();
  pool.update([record(100)]);
  pool.noteStatus(HOST, status(100, 2));
  pool.update([record(200, { models: [] })]);
  expect(server().version('m')).toEqual(0);
  pool.noteStatus(HOST, status(100, 2));
  expect([server().version('m'), server().statusAge]).toEqual([0, undefined]);
});

test('should mark a server as draining by a record of its former incarnation, without a restart', () => {
  const { pool, server, steps } = poolFixture();
  pool.update([record(100)]);
  pool.noteStatus(HOST, status(200, 0));
  pool.update([record(100, { draining: true })]);
  expect(server().record.draining).toEqual(true);
  expect(steps().includes('server.draining')).toEqual(true);
});

test('should not restore a version from an unchanged record after the agent reported its loss', () => {
  const { pool, server } = poolFixture();
  const unchanged = record(0);
  pool.update([unchanged]);
  pool.noteStatus(HOST, status(undefined, 0));
  pool.update([unchanged]);
  expect(server().version('m')).toEqual(0);
});

test('should use the new address of a server that restarts at another one', () => {
  const { pool, server } = poolFixture();
  pool.update([record(100)]);
  const former = server();
  pool.update([record(200, { address: '127.0.0.2:1' })]);
  expect(server().host).toEqual('127.0.0.2');
  expect([former.connections.acquire() === undefined, server().connections.available]).toEqual([true, true]);
});

test('should remove a server with an invalid record, even if the list may be incomplete', () => {
  const { pool } = poolFixture();
  pool.update([record(100), record(100, { id: 'i-2' })]);
  pool.update([record(100, { id: 'i-2' })], { mayBeIncomplete: true, unusable: new Set(['i-1']) });
  expect(pool.all().map((server) => server.record.id)).toEqual(['i-2']);
});

for (const [what, former, later] of [
  ['a later start', { startedAt: 100, revision: 9 }, { startedAt: 200, revision: 5 }],
  ['a later change, if the starts are unknown', { startedAt: 0, revision: 5 }, { startedAt: 0, revision: 9 }],
  [
    'a later change, if only one start is known',
    { startedAt: 100, revision: 5 },
    { startedAt: 0, revision: 9 },
  ],
] as const) {
  test(`should find the later of two servers at one address by ${what}`, () => {
    const listed = [
      { record: record(former.startedAt, { id: 'former' }), revision: former.revision },
      { record: record(later.startedAt, { id: 'later' }), revision: later.revision },
      { record: record(50, { id: 'other', address: '127.0.0.9:1' }), revision: 1 },
    ];
    expect(supersededServers(listed)).toEqual(['former']);
    expect(supersededServers(listed.reverse())).toEqual(['former']);
  });
}

test('should remove a superseded server, even if the list may be incomplete', () => {
  const { pool } = poolFixture();
  pool.update([record(100)]);
  pool.update([record(200, { id: 'i-2' })], { mayBeIncomplete: true, unusable: new Set(['i-1']) });
  expect(pool.all().map((server) => server.record.id)).toEqual(['i-2']);
});
