/**
 * Tests that entries share backpressure signals through agents, and that older notices do not replace newer state.
 */
import { test } from 'node:test';
import { expect } from 'earl';
import type { AnswerSignals } from '../src/backpressure/answerSignals.js';
import { ServerBackpressure } from '../src/backpressure/serverBackpressure.js';
import type { ServerSignals } from '../src/backpressure/serverSignals.js';
import type { ServerNotice } from '../src/protocol/boxMessages.js';
import { ServerNotices } from '../src/staging/serverNotices.js';
import { ManualClock } from '../src/utils/clock.js';
import { quietLog } from './fixtures/quietLog.js';
import { servingSignals } from './fixtures/servingSignals.js';

const SERVER = 'i-1';

function notice(changes: Partial<ServerNotice> = {}): ServerNotice {
  return {
    server: SERVER,
    startedAt: 0,
    limitPerSecond: 1,
    leaving: false,
    heardMilliseconds: 0,
    ...changes,
  };
}

function signalsWith(changes: Partial<AnswerSignals>): AnswerSignals {
  return {
    limitPerSecond: undefined,
    leaving: false,
    retryAfterMilliseconds: 0,
    coldMilliseconds: 0,
    unreadable: undefined,
    ...changes,
  };
}

/** Creates the signals of one entry and the state of one server. */
function entry() {
  const clock = new ManualClock();
  clock.advance(10_000);
  const signals: ServerSignals = servingSignals(clock);
  return { clock, signals, server: signals.backpressureOf(SERVER, 'north', 0) };
}

test('should forward new notices at an agent only once', () => {
  const notices = new ServerNotices(new ManualClock());
  expect(notices.merge([notice()])).toEqual([notice()]);
  expect(notices.merge([notice()])).toEqual([]);
  expect(notices.all()).toEqual([notice()]);
});

test('should keep the newer of two notices at an agent, in whichever order they arrive', () => {
  const notices = new ServerNotices(new ManualClock());
  notices.merge([notice({ limitPerSecond: null, heardMilliseconds: 100 })]);
  expect(notices.merge([notice({ heardMilliseconds: 2_000 })])).toEqual([]);
  expect(notices.merge([notice({ heardMilliseconds: 50 })])).toEqual([notice({ heardMilliseconds: 50 })]);
});

test('should remember at an agent that a server is leaving', () => {
  const notices = new ServerNotices(new ManualClock());
  notices.merge([notice({ leaving: true, heardMilliseconds: 500 })]);
  const later = notice({ limitPerSecond: 2 });
  expect(notices.merge([later])).toEqual([{ ...later, leaving: true }]);
});

test('should treat another incarnation of a server separately at an agent', () => {
  const notices = new ServerNotices(new ManualClock());
  notices.merge([notice({ startedAt: 5, leaving: true, heardMilliseconds: 500 })]);
  const later = notice({ startedAt: 6 });
  expect(notices.merge([later])).toEqual([later]);
});

test('should forward the confirmation of a limit from time to time at an agent', () => {
  const clock = new ManualClock();
  const notices = new ServerNotices(clock);
  notices.merge([notice()]);
  clock.advance(5_000);
  expect(notices.merge([notice()])).toEqual([]);
  clock.advance(5_000);
  expect(notices.merge([notice()])).toEqual([notice()]);
});

test('should drop very old notices at an agent', () => {
  const clock = new ManualClock();
  const notices = new ServerNotices(clock);
  notices.merge([notice()]);
  clock.advance(700_000);
  expect(notices.all()).toEqual([]);
});

test('should apply a limit reported by another entry', () => {
  const { signals, server } = entry();
  signals.applyNotices([notice()]);
  expect(server.isLimited).toEqual(true);
  expect(server.waitMilliseconds).toEqual(1_000);
});

test('should apply a limit reported before the server was found', () => {
  const { signals } = entry();
  signals.applyNotices([notice({ server: 'i-2' })]);
  expect(signals.backpressureOf('i-2', 'north', 0).isLimited).toEqual(true);
});

test('should not apply a notice about another incarnation of a server', () => {
  const { signals } = entry();
  const server = signals.backpressureOf('i-2', 'north', 6);
  signals.applyNotices([notice({ server: 'i-2', startedAt: 5 })]);
  expect(server.isLimited).toEqual(false);
});

test('should not apply a notice about a former incarnation received before the current one was found', () => {
  const { signals } = entry();
  signals.applyNotices([notice({ server: 'i-2', startedAt: 5, leaving: true })]);
  const server = signals.backpressureOf('i-2', 'north', 6);
  expect([server.isLimited, server.isLeaving]).toEqual([false, false]);
});

test('should end a limit by a notice of another entry, but not by an older one', () => {
  const { clock, signals, server } = entry();
  server.applySignals(signalsWith({ limitPerSecond: 1 }));
  clock.advance(2_000);
  signals.applyNotices([notice({ limitPerSecond: null, heardMilliseconds: 2_500 })]);
  expect(server.isLimited).toEqual(true);
  signals.applyNotices([notice({ limitPerSecond: null, heardMilliseconds: 500 })]);
  expect(server.isLimited).toEqual(false);
  signals.applyNotices([notice({ heardMilliseconds: 1_000 })]);
  expect(server.isLimited).toEqual(false);
});

test('should keep a reported limit when a response without one follows', () => {
  const { signals, server } = entry();
  server.applySignals(signalsWith({}));
  signals.applyNotices([notice({ heardMilliseconds: 50 })]);
  server.applySignals(signalsWith({}));
  expect(server.isLimited).toEqual(true);
});

test('should end a limit only when no response has had one for a second', () => {
  const { clock, server } = entry();
  server.applySignals(signalsWith({ limitPerSecond: 1 }));
  clock.advance(900);
  server.applySignals(signalsWith({}));
  expect(server.isLimited).toEqual(true);
  clock.advance(100);
  server.applySignals(signalsWith({}));
  expect(server.isLimited).toEqual(false);
});

test('should confirm a limit to the other entries from time to time', () => {
  const clock = new ManualClock();
  let notified = 0;
  const server = new ServerBackpressure({
    server: SERVER,
    clock,
    log: quietLog(),
    share: (perSecond) => ({ perSecond, entries: 1 }),
    phase: 0,
    onChange: () => notified++,
  });
  for (let second = 0; second <= 25; second++) {
    server.applySignals(signalsWith({ limitPerSecond: 1 }));
    clock.advance(1_000);
  }
  expect(notified).toEqual(3);
  server.applySignals(signalsWith({}));
  clock.advance(20_000);
  server.applySignals(signalsWith({}));
  expect(notified).toEqual(4);
});

test('should drop the state of a former incarnation of a server', () => {
  const { signals, server } = entry();
  server.applySignals(signalsWith({ limitPerSecond: 1, leaving: true, retryAfterMilliseconds: 1_000 }));
  signals.forgetServer(SERVER);
  const present = signals.backpressureOf(SERVER, 'north', 0);
  expect([present.isLimited, present.isLeaving, present.isBackingOff]).toEqual([false, false, false]);
});

test('should notify the other entries of changes by responses only', async () => {
  const { signals, server } = entry();
  const notified: ServerNotice[][] = [];
  const once = new Promise<void>((resolve) => {
    signals.on('change', (notices) => {
      notified.push(notices);
      resolve();
    });
  });
  server.applySignals(signalsWith({}));
  signals.applyNotices([notice({ server: 'i-2' })]);
  server.applySignals(signalsWith({ limitPerSecond: 1 }));
  server.applySignals(signalsWith({ limitPerSecond: 2, leaving: true }));
  await once;
  expect(notified).toEqual([[notice({ limitPerSecond: 2, leaving: true })]]);
  expect(new Set(signals.notices().map(({ server: id }) => id))).toEqual(new Set([SERVER, 'i-2']));
});
