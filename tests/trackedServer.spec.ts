/** Tests the state that an entry tracks for one backend server. */
import { test } from 'node:test';
import { expect } from 'earl';
import { BackendConnections } from '../src/serving/backendConnections.js';
import type { ServedModel } from '../src/serving/backendServerRecord.js';
import { promptSize } from '../src/serving/promptSize.js';
import { TrackedServer } from '../src/serving/trackedServer.js';
import { ManualClock } from '../src/utils/clock.js';
import { servingSignals } from './fixtures/servingSignals.js';

function trackedServer(
  clock: ManualClock,
  models: ServedModel[] = [],
  linkDelay?: () => number,
  reportsHere?: () => boolean,
): TrackedServer {
  const record = {
    id: 's',
    startedAt: 0,
    service: 'm',
    address: '127.0.0.1:1',
    dataCentre: 'north',
    slots: 16,
    draining: false,
  };
  const options = { address: record.address, connectMilliseconds: 1, clock, limit: () => 1 };
  const connections = new BackendConnections(options);
  const backpressure = servingSignals(clock).backpressureOf(record.id, record.dataCentre, record.startedAt);
  const served = { ...record, models };
  const server = new TrackedServer(served, connections, backpressure, clock, () => 3, linkDelay, reportsHere);
  server.update(server.record);
  return server;
}

test('should apply a lost version reported by the agent', () => {
  const server = trackedServer(new ManualClock(), [{ name: 'model', version: 2 }]);
  expect(server.version('model')).toEqual(2);
  const load = { type: 'box-status', running: 0, queued: 0, model: 'model', slowLink: false } as const;
  server.noteStatus({ ...load, state: 'empty', version: 0 });
  expect(server.version('model')).toEqual(0);
  server.noteStatus({ ...load, state: 'serving', version: 3 });
  expect(server.version('model')).toEqual(3);
});

test('should keep a server out of service until its agent reports that it has switched', () => {
  const clock = new ManualClock();
  const server = trackedServer(clock, [{ name: 'model', version: 2 }]);
  const load = { type: 'box-status', running: 0, queued: 0, model: 'model', slowLink: false } as const;
  server.noteStatus({ ...load, state: 'switching', version: 2 });
  clock.advance(60_000);
  expect(server.switching).toEqual(true);
  server.noteStatus({ ...load, state: 'serving', version: 3 });
  expect(server.switching).toEqual(false);
});

test('should use the listed version of a server whose agent reports elsewhere, but not at once', () => {
  const clock = new ManualClock();
  const server = trackedServer(clock, [], undefined, () => false);
  server.update({ ...server.record, ordersTaken: 1, models: [{ name: 'model', version: 2 }] });
  expect(server.version('model')).toEqual(0);
  clock.advance(3_000);
  expect(server.version('model')).toEqual(2);
  server.update({ ...server.record, ordersTaken: 2, models: [{ name: 'model', version: 3 }] });
  expect(server.version('model')).toEqual(0);
});

test('should never use the listed version of a server whose agent reports here', () => {
  const clock = new ManualClock();
  const server = trackedServer(clock);
  server.update({ ...server.record, ordersTaken: 1, models: [{ name: 'model', version: 2 }] });
  clock.advance(60_000);
  expect(server.version('model')).toEqual(0);
});

test('should not use a server whose answer names a version that its agent has not confirmed', () => {
  const server = trackedServer(new ManualClock(), [{ name: 'model', version: 2 }]);
  server.noteAnsweredVersion('model', 2);
  expect(server.version('model')).toEqual(2);
  server.noteAnsweredVersion('model', 3);
  expect(server.version('model')).toEqual(0);
});

test('should not expect a request to start promptly behind pending prompts', () => {
  const clock = new ManualClock();
  clock.advance(10_000);
  const server = trackedServer(clock);
  const status = {
    type: 'box-status',
    state: 'serving',
    version: 1,
    running: 4,
    model: 'model',
    slowLink: false,
  } as const;
  expect(server.startsPromptly).toEqual(false);
  server.noteStatus({ ...status, queued: 0 });
  expect(server.startsPromptly).toEqual(true);
  server.noteStatus({ ...status, queued: 5 });
  expect(server.startsPromptly).toEqual(false);
  server.noteStatus({ ...status, running: 17, queued: 0 });
  expect(server.startsPromptly).toEqual(false);
  server.noteStatus({ ...status, queued: 0, slowLink: true });
  expect(server.startsPromptly).toEqual(false);
});

test('should assume that other entries have sent as many prompts as this one', () => {
  const server = trackedServer(new ManualClock());
  server.noteSent(1);
  server.noteSent(1);
  expect(server.pendingPrompts).toEqual(6);
  server.noteRead(1);
  expect(server.pendingPrompts).toEqual(3);
  server.noteRead(1);
  expect(server.pendingPrompts).toEqual(0);
});

test('should count pending prompts by their size, not by their number', () => {
  const large = trackedServer(new ManualClock());
  const small = trackedServer(new ManualClock());
  large.noteSent(4);
  for (const size of [0.1, 0.2, 0.3]) small.noteSent(size);
  expect(large.pendingPrompts).toBeGreaterThan(small.pendingPrompts * 3);
  for (const size of [0.3, 0.1, 0.2]) small.noteRead(size);
  expect(small.pendingPrompts).toEqual(0);
});

test('should compute the size of a prompt from its tokens', () => {
  expect(promptSize('3880,80', 970)).toEqual(4);
  expect(promptSize('97', 970)).toEqual(0.1);
  expect(promptSize(undefined, 970)).toEqual(1);
  expect(promptSize('many', 970)).toEqual(1);
  expect(promptSize('-5,1', 970)).toEqual(1);
  expect(promptSize('100,1', 0)).toEqual(1);
});

test('should apply a higher number of queued prompts reported by the agent while it is recent', () => {
  const clock = new ManualClock();
  const server = trackedServer(clock);
  const status = { type: 'box-status', state: 'serving', version: 1, running: 4, slowLink: false } as const;
  server.noteStatus({ ...status, model: 'model', queued: 8 });
  expect(server.pendingPrompts).toEqual(8);
  clock.advance(120);
  expect(server.pendingPrompts).toEqual(4);
});

test('should consider a link slow when its round trip is long', () => {
  let delay = 400;
  const server = trackedServer(new ManualClock(), [], () => delay);
  expect(server.slowLink).toEqual(false);
  delay = 401;
  expect([server.slowLink, server.startsPromptly]).toEqual([true, false]);
});

test('should not consider a link slow after its agent has been lost for a while', () => {
  const clock = new ManualClock();
  const server = trackedServer(clock);
  const status = { type: 'box-status', state: 'serving', version: 1, running: 0, queued: 0 } as const;
  server.noteStatus({ ...status, model: 'model', slowLink: true });
  clock.advance(1_999);
  expect(server.slowLink).toEqual(true);
  clock.advance(1);
  expect([server.slowLink, server.agentSilent]).toEqual([false, true]);
});
