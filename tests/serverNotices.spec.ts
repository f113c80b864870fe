/** What servers ask for reaches entries that have not asked them, by way of the agents, and is not overtaken by older notices. */
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

function saying(changes: Partial<AnswerSignals>): AnswerSignals {
  return {
    limitPerSecond: undefined,
    leaving: false,
    retryAfterMilliseconds: 0,
    unreadable: undefined,
    ...changes,
  };
}

/** Signals of one entry, and what it tells the others. */
function entry() {
  const clock = new ManualClock();
  clock.advance(10_000);
  const signals: ServerSignals = servingSignals(clock);
  return { clock, signals, server: signals.of(SERVER, 'north', 0) };
}

test('should pass on what is new to an agent, once', () => {
  const notices = new ServerNotices(new ManualClock());
  expect(notices.merge([notice()])).toEqual([notice()]);
  expect(notices.merge([notice()])).toEqual([]);
  expect(notices.all()).toEqual([notice()]);
});

test('should keep the newer of two notices at an agent, whichever comes first', () => {
  const notices = new ServerNotices(new ManualClock());
  notices.merge([notice({ limitPerSecond: null, heardMilliseconds: 100 })]);
  expect(notices.merge([notice({ heardMilliseconds: 2_000 })])).toEqual([]);
  expect(notices.merge([notice({ heardMilliseconds: 50 })])).toEqual([notice({ heardMilliseconds: 50 })]);
});

test('should not forget at an agent that a server leaves', () => {
  const notices = new ServerNotices(new ManualClock());
  notices.merge([notice({ leaving: true, heardMilliseconds: 500 })]);
  const later = notice({ limitPerSecond: 2 });
  expect(notices.merge([later])).toEqual([{ ...later, leaving: true }]);
});

test('should take another life of a server for itself at an agent', () => {
  const notices = new ServerNotices(new ManualClock());
  notices.merge([notice({ startedAt: 5, leaving: true, heardMilliseconds: 500 })]);
  const later = notice({ startedAt: 6 });
  expect(notices.merge([later])).toEqual([later]);
});

test('should pass on from time to time at an agent that a limit still holds', () => {
  const clock = new ManualClock();
  const notices = new ServerNotices(clock);
  notices.merge([notice()]);
  clock.advance(5_000);
  expect(notices.merge([notice()])).toEqual([]);
  clock.advance(5_000);
  expect(notices.merge([notice()])).toEqual([notice()]);
});

test('should forget notices at an agent that are very old', () => {
  const clock = new ManualClock();
  const notices = new ServerNotices(clock);
  notices.merge([notice()]);
  clock.advance(700_000);
  expect(notices.all()).toEqual([]);
});

test('should heed the limit that another entry was told', () => {
  const { signals, server } = entry();
  signals.take([notice()]);
  expect(server.isLimited).toEqual(true);
  expect(server.waitMilliseconds).toEqual(1_000);
});

test('should heed a limit that was told before the server was found', () => {
  const { signals } = entry();
  signals.take([notice({ server: 'i-2' })]);
  expect(signals.of('i-2', 'north', 0).isLimited).toEqual(true);
});

test('should not heed what was told of another life of a server', () => {
  const { signals } = entry();
  const server = signals.of('i-2', 'north', 6);
  signals.take([notice({ server: 'i-2', startedAt: 5 })]);
  expect(server.isLimited).toEqual(false);
});

test('should not heed what was told of a former life before the present one was found', () => {
  const { signals } = entry();
  signals.take([notice({ server: 'i-2', startedAt: 5, leaving: true })]);
  const server = signals.of('i-2', 'north', 6);
  expect([server.isLimited, server.isLeaving]).toEqual([false, false]);
});

test('should hear from another entry that a limit has ended, and not by an older notice', () => {
  const { clock, signals, server } = entry();
  server.note(saying({ limitPerSecond: 1 }));
  clock.advance(2_000);
  signals.take([notice({ limitPerSecond: null, heardMilliseconds: 2_500 })]);
  expect(server.isLimited).toEqual(true);
  signals.take([notice({ limitPerSecond: null, heardMilliseconds: 500 })]);
  expect(server.isLimited).toEqual(false);
  signals.take([notice({ heardMilliseconds: 1_000 })]);
  expect(server.isLimited).toEqual(false);
});

test('should heed a limit that it was told though an older answer of the server came later', () => {
  const { signals, server } = entry();
  server.note(saying({}));
  signals.take([notice({ heardMilliseconds: 50 })]);
  server.note(saying({}));
  expect(server.isLimited).toEqual(true);
});

test('should end a limit by an answer only when none has named it for a second', () => {
  const { clock, server } = entry();
  server.note(saying({ limitPerSecond: 1 }));
  clock.advance(900);
  server.note(saying({}));
  expect(server.isLimited).toEqual(true);
  clock.advance(100);
  server.note(saying({}));
  expect(server.isLimited).toEqual(false);
});

test('should tell the other entries from time to time that a limit still holds', () => {
  const clock = new ManualClock();
  let told = 0;
  const server = new ServerBackpressure({
    server: SERVER,
    clock,
    log: quietLog(),
    share: (perSecond) => ({ perSecond, entries: 1 }),
    phase: 0,
    onChange: () => told++,
  });
  for (let second = 0; second <= 25; second++) {
    server.note(saying({ limitPerSecond: 1 }));
    clock.advance(1_000);
  }
  expect(told).toEqual(3);
  server.note(saying({}));
  clock.advance(20_000);
  server.note(saying({}));
  expect(told).toEqual(4);
});

test('should believe nothing of a former life of a server', () => {
  const { signals, server } = entry();
  server.note(saying({ limitPerSecond: 1, leaving: true, retryAfterMilliseconds: 1_000 }));
  signals.startAnew(SERVER);
  const present = signals.of(SERVER, 'north', 0);
  expect([present.isLimited, present.isLeaving, present.isBackingOff]).toEqual([false, false, false]);
});

test('should tell the other entries what answers have changed, and nothing else', async () => {
  const { signals, server } = entry();
  const told: ServerNotice[][] = [];
  const once = new Promise<void>((resolve) => {
    signals.on('change', (notices) => {
      told.push(notices);
      resolve();
    });
  });
  server.note(saying({}));
  signals.take([notice({ server: 'i-2' })]);
  server.note(saying({ limitPerSecond: 1 }));
  server.note(saying({ limitPerSecond: 2, leaving: true }));
  await once;
  expect(told).toEqual([[notice({ limitPerSecond: 2, leaving: true })]]);
  expect(new Set(signals.notices().map(({ server: id }) => id))).toEqual(new Set([SERVER, 'i-2']));
});
