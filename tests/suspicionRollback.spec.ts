/** Suspicions that the store has lost, as it was rolled back: nobody else writes them again. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import type { SuspicionTracker } from '../src/crashes/suspicionTracker.js';
import { pause } from '../src/utils/timers.js';
import { KIND, SuspicionsFixture } from './fixtures/suspicionsFixture.js';
import { until } from './fixtures/until.js';

let fixture: SuspicionsFixture;

beforeEach(() => {
  fixture = new SuspicionsFixture();
});

afterEach(() => fixture.close());

function decisions(...entries: SuspicionTracker[]): string[] {
  return entries.map((entry) => entry.runDecision('f', 'other'));
}

/** Lets a request be at the ends of two servers, and of a third as its trial. */
async function shutOut(entry: SuspicionTracker): Promise<void> {
  fixture.reportTwoExits(entry, 's-1', 's-2');
  const gate = fixture.gate(entry, 'trial');
  await gate.wait();
  void entry.noteServerExit('f', { server: 's-3', trial: gate.id });
  gate.release();
  await until(() => fixture.held?.ends.length === 3 && fixture.held.trial === undefined);
  await fixture.sync();
}

test('should keep a request shut out that the store has forgotten, and write that again', async () => {
  const entries = [fixture.entry('a'), fixture.entry('b')];
  const copy = fixture.store.copy();
  await shutOut(entries[0]);
  fixture.store.rollBackTo(copy);
  await fixture.sync();
  expect(decisions(...entries)).toEqual(['shut-out', 'shut-out']);
  await until(() => fixture.held?.ends.length === 3);
  await fixture.sync();
  expect(decisions(...entries)).toEqual(['shut-out', 'shut-out']);
});

test('should write again what was lost once, however many entries know of it', async () => {
  const reader = fixture.entry('a');
  const others = ['b', 'c', 'd', 'e'].map((box) => fixture.entry(box, false));
  const copy = fixture.store.copy();
  await shutOut(reader);
  fixture.store.rollBackTo(copy);
  await fixture.sync();
  const { writes } = fixture.store;
  await until(() => fixture.held !== undefined);
  await fixture.sync();
  expect(others.every((other) => other.counts.shutOut === 1)).toEqual(true);
  // longer than those take that do not read the store
  await pause(1_700);
  expect(fixture.store.writes - writes).toEqual(1);
});

test('should write again what was lost where those that read the store have just started', async () => {
  const [former, other] = [fixture.entry('a'), fixture.entry('b', false)];
  const copy = fixture.store.copy();
  await shutOut(former);
  former.close();
  fixture.store.rollBackTo(copy);
  fixture.entry('a');
  await fixture.sync();
  await until(() => fixture.held?.ends.length === 3);
  expect(decisions(other)).toEqual(['shut-out']);
});

test('should not bring back a suspicion that had been cleared', async () => {
  const entries = [fixture.entry('a'), fixture.entry('b')];
  fixture.reportTwoExits(entries[0], 's-1', 's-2');
  await until(() => fixture.held !== undefined);
  await fixture.sync();
  const copy = fixture.store.copy();
  entries[0].noteSuccess('f');
  await until(() => fixture.held === undefined);
  await fixture.sync();
  fixture.store.rollBackTo(copy);
  await fixture.sync();
  expect(decisions(...entries)).toEqual(['free', 'free']);
  await until(() => fixture.held === undefined);
  await fixture.sync();
  expect(entries.map(({ isEmpty }) => isEmpty)).toEqual([true, true]);
});

test('should know what the store has lost beside what has come since', async () => {
  const entry = fixture.entry('a');
  fixture.reportTwoExits(entry, 's-1', 's-2');
  await until(() => fixture.held !== undefined);
  await fixture.sync();
  const copy = fixture.store.copy();
  await shutOut(entry);
  fixture.store.rollBackTo(copy);
  fixture.store.change(KIND, 'f', { ends: [{ server: 's-4', trial: 'another' }] });
  await fixture.sync();
  await until(() => fixture.held?.ends.length === 4);
  const servers = fixture.held?.ends.map(({ server }) => server).sort();
  expect(servers).toEqual(['s-1', 's-2', 's-3', 's-4']);
});

test('should write on an object older than the copy once a conflict has told of it twice', async () => {
  const entry = fixture.entry('a');
  fixture.reportTwoExits(entry, 's-1', 's-2');
  await until(() => fixture.held !== undefined);
  const copy = fixture.store.copy();
  await shutOut(entry);
  fixture.store.rollBackTo(copy, { tellsGeneration: false });
  const { writes } = fixture.store;
  fixture.store.maxWrites = writes + 20;
  void entry.noteServerExit('f', { server: 's-4', trial: '' });
  await until(() => fixture.held?.ends.length === 4);
  expect(fixture.store.writes - writes).toEqual(3);
});
