/**
 * Guards against sending a server that has just started, or is cold again, more than it handles: it had room, so all
 * entries preferred it.
 */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { PLATFORM_HEADER_NAMES } from '../platform/headers.js';
import { PlatformRecordReader } from '../platform/records.js';
import { readSignals } from '../src/backpressure/answerSignals.js';
import { ServerSignals } from '../src/backpressure/serverSignals.js';
import { UnreadableRecords } from '../src/records/unreadableRecords.js';
import { ServerPool } from '../src/serving/serverPool.js';
import { ServerRecordDecoder } from '../src/serving/serverRecordDecoder.js';
import { ManualClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';
import { ColdFleet, boxes } from './fixtures/coldFleet.js';
import { EVERYWHERE } from './fixtures/everywhere.js';
import { quietLog } from './fixtures/quietLog.js';
import { createRecordingLog } from './fixtures/recordingLog.js';

const COLD_PER_SECOND = 26;
const START_MILLISECONDS = 3_000;
const SEED = 20_261_203;
const RUNS = 300;
const BORN = 1_700_000_000_000;
const reader = new PlatformRecordReader();

function value(changes: Record<string, unknown> = {}) {
  const place = {
    service: 's',
    address: '10.0.0.1:80',
    zone: 'north',
    slots: 8,
    state: 'ready',
    version: 'v1',
  };
  return { ...place, cold_left_ms: 0, seq_no: 0, born: BORN, ...changes };
}

/** An entry, and the servers that it lists. `coldPerSecond` is 0 for a service without a limit for cold servers. */
function entry(coldPerSecond = COLD_PER_SECOND) {
  const clock = new ManualClock();
  clock.advance(10_000);
  const { log, lines, steps } = createRecordingLog();
  const cold = { startMilliseconds: START_MILLISECONDS, perSecond: coldPerSecond };
  const signals = new ServerSignals({
    clock,
    log,
    box: 'entry-0',
    share: (_server, _dataCentre, perSecond) => ({ perSecond, entries: 1 }),
    cold: { perSecond: () => coldPerSecond, entries: () => boxes(6) },
  });
  const pool = new ServerPool({
    dataCentre: 'north',
    clock,
    random: new SeededRandom(1),
    log,
    signals,
    service: () => ({
      name: 's',
      maximumConnections: 9,
      engine: undefined,
      origin: undefined,
      ...(coldPerSecond > 0 ? { cold } : {}),
    }),
    permission: EVERYWHERE,
    entries: () => 1,
    entriesInDataCentre: () => 1,
    isRouted: () => true,
  });
  const decoder = new ServerRecordDecoder(reader, new UnreadableRecords(quietLog()), clock);
  let revision = 0;
  const object = (changes = {}, name = 'i-1') => ({ name, value: value(changes), revision: ++revision });
  const list = (...records: Record<string, unknown>[]): void =>
    pool.update(
      records.map((changes, index) =>
        decoder.decode(object({ address: `10.0.0.${index + 1}:80`, ...changes }, `i-${index + 1}`))!,
      ),
    );
  const state = (index = 0) => pool.all()[index].backpressure;
  return { clock, signals, pool, decoder, object, list, state, lines, steps };
}

test('should treat only servers that start after the first list as cold', () => {
  const { list, state, clock } = entry();
  list({});
  expect(state().isCold).toEqual(false);
  list({}, {});
  expect([state().isCold, state(1).isCold]).toEqual([false, true]);
  list({ born: BORN + 1 }, {});
  expect(state().isCold).toEqual(true);
  clock.advance(START_MILLISECONDS);
  expect([state().isCold, state(1).isCold]).toEqual([false, false]);
});

test('should not treat a server as started when its record was only missing for a while', () => {
  const { list, state } = entry();
  list({}, {});
  list({});
  list({}, {});
  expect(state(1).isCold).toEqual(false);
});

test('should treat a server of the first list as cold when its record says so', () => {
  const { list, state, clock } = entry();
  list({ cold_left_ms: 800 });
  clock.advance(799);
  expect(state().isCold).toEqual(true);
  clock.advance(1);
  expect(state().isCold).toEqual(false);
});

test('should apply the source that ends last', () => {
  const { list, state, clock, steps } = entry();
  list();
  list({ cold_left_ms: 500 });
  const answer = {
    limitPerSecond: undefined,
    leaving: false,
    retryAfterMilliseconds: 0,
    unreadable: undefined,
  };
  state().applySignals({ ...answer, coldMilliseconds: 100 });
  clock.advance(START_MILLISECONDS - 1);
  state().applySignals({ ...answer, coldMilliseconds: 200 });
  clock.advance(100);
  expect(state().isCold).toEqual(true);
  clock.advance(100);
  expect(state().isCold).toEqual(false);
  expect(steps().filter((step) => /cold|warm/.test(step))).toEqual(['server.cold', 'server.warm']);
});

test('should ignore the record of a former incarnation', () => {
  const { list, pool, state, clock } = entry();
  list({});
  const load = { model: 'm', version: 1, running: 0, queued: 0, slowLink: false };
  pool.noteStatus('10.0.0.1', { type: 'box-status', state: 'serving', ...load, startedAt: BORN + 5 });
  expect(state().isCold).toEqual(true);
  clock.advance(START_MILLISECONDS);
  list({ cold_left_ms: 9_000 });
  expect(state().isCold).toEqual(false);
  list({ cold_left_ms: 9_000, born: BORN + 5 });
  expect(state().isCold).toEqual(true);
});

test('should ignore a warm-up in the notice of a former incarnation', () => {
  const { list, signals, state } = entry();
  list({});
  const notice = { server: 'i-1', limitPerSecond: null, leaving: false, heardMilliseconds: 600_000 };
  signals.applyNotices([{ ...notice, startedAt: BORN - 1, coldMilliseconds: 1_000 }]);
  expect(state().isCold).toEqual(false);
  signals.applyNotices([{ ...notice, startedAt: BORN, coldMilliseconds: 1_000 }]);
  expect([state().isCold, signals.counts.cold]).toEqual([true, 1]);
  expect(signals.notices()).toEqual([{ ...notice, startedAt: BORN, coldMilliseconds: 1_000 }]);
});

test('should classify a later end of a warm-up as urgent and the passing of time as no change', () => {
  const { decoder, object, clock } = entry();
  const before = object({ cold_left_ms: 3_000 });
  decoder.decode(before);
  clock.advance(1_000);
  expect(decoder.classifyChange(before, object({ cold_left_ms: 2_000 }))).toEqual('none');
  expect(decoder.classifyChange(before, object({ cold_left_ms: 0 }))).toEqual('none');
  expect(decoder.classifyChange(before, object({ cold_left_ms: 3_000 }))).toEqual('urgent');
  expect(decoder.classifyChange(object(), object({ cold_left_ms: 1 }))).toEqual('urgent');
});

test('should not limit servers of a service without a rate for cold servers', () => {
  const { list, state, steps } = entry(0);
  list();
  list({ cold_left_ms: 5_000 });
  expect([state().isCold, state().waitMilliseconds]).toEqual([false, 0]);
  expect(steps()).toEqual(['server.found']);
});

test('should apply the smaller of the limits when a cold server also advertises one', () => {
  for (const limitPerSecond of [2, 200]) {
    const fleet = new ColdFleet(COLD_PER_SECOND);
    const all = boxes(69);
    const entries = all.map(({ box }) => fleet.start(box, () => all));
    fleet.cool(6_000);
    const signals = { leaving: false, retryAfterMilliseconds: 0, coldMilliseconds: 0, unreadable: undefined };
    // Each entry has the same part of the advertised limit here.
    for (const one of entries) one.applySignals({ ...signals, limitPerSecond: limitPerSecond / all.length });
    fleet.run(5_000);
    expect(fleet.sends.length).toBeLessThanOrEqual(5 * Math.min(limitPerSecond, 0.9 * COLD_PER_SECOND) + 22);
  }
});

test('should send nothing from entries without a share until the server is warm', () => {
  const fleet = new ColdFleet(COLD_PER_SECOND);
  const all = boxes(69);
  const other = fleet.start('entry-1', () => all);
  fleet.cool(50_000);
  expect(other.waitMilliseconds).toEqual(50_000);
  fleet.run(49_900);
  expect(fleet.sends.length).toEqual(0);
});

test('should raise the rate step by step when a server becomes warm', () => {
  const fleet = new ColdFleet(COLD_PER_SECOND);
  const all = boxes(69);
  for (const { box } of all) fleet.start(box, () => all);
  fleet.cool(3_000);
  fleet.run(3_000);
  const before = fleet.sends.length;
  fleet.run(500);
  expect(fleet.sends.length - before).toBeLessThanOrEqual(2 * COLD_PER_SECOND);
  fleet.run(2_500);
  const others = boxes(2).map(({ box }) => fleet.start(box, () => all));
  expect(others.map(({ waitMilliseconds }) => waitMilliseconds)).toEqual([0, 0]);
});

test('should reduce the rate immediately when a warm server becomes cold again', () => {
  const fleet = new ColdFleet(COLD_PER_SECOND);
  const all = boxes(100);
  for (const { box } of all) fleet.start(box, () => all);
  fleet.cool(1_000);
  fleet.run(2_500);
  fleet.cool(3_000);
  fleet.sends.length = 0;
  fleet.run(3_000);
  expect(fleet.maxInSecond).toBeLessThanOrEqual(1.5 * COLD_PER_SECOND + 5);
});

test('should never wait for longer than a minute because of a value from outside', () => {
  const number = fc.oneof(fc.double(), fc.integer(), fc.constantFrom(1e300, -1, 0, 1e-9));
  const any = fc.oneof(number, fc.string(), fc.constantFrom(null, undefined, {}, [1]));
  fc.assert(
    fc.property(any, any, any, (left, perSecond, header) => {
      const services = [{ name: 's', cold_start_s: left, cold_per_s: perSecond }];
      const configuration = reader
        .configuration('main', { version: 1, routes: [], services })
        .unwrapOr(undefined);
      const cold = configuration?.services[0].cold;
      const { list, state, pool } = entry(cold?.perSecond ?? 0);
      list();
      if (reader.server('i-1', value({ cold_left_ms: left })).isOk()) list({ cold_left_ms: left });
      for (const known of pool.all()) {
        const headers = { 'x-cold-ms': String(header) };
        known.backpressure.applySignals(readSignals(200, headers, PLATFORM_HEADER_NAMES));
        expect(state().waitMilliseconds).toBeGreaterThanOrEqual(0);
        expect(state().waitMilliseconds).toBeLessThanOrEqual(60_000 + 3_000);
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('should log a header without a valid value once and ignore it', () => {
  for (const text of ['', '-1', 'soon', '1e3', 'NaN', '9'.repeat(400)]) {
    const { coldMilliseconds, unreadable } = readSignals(200, { 'x-cold-ms': text }, PLATFORM_HEADER_NAMES);
    expect([coldMilliseconds, unreadable]).toEqual([0, `x-cold-ms: ${text}`.slice(0, 40)]);
  }
});
