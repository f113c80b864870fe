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

function standings(...entries: SuspicionTracker[]): string[] {
  return entries.map((entry) => entry.runDecision('f', 'other'));
}

/** Lets a request be at the ends of two servers, and of a third as its trial. */
async function shutOut(entry: SuspicionTracker): Promise<void> {
  fixture.suspect(entry, 's-1', 's-2');
  const turn = fixture.turn(entry, 'trial');
  await turn.wait();
  void entry.noteServerExit('f', { server: 's-3', trial: turn.id });
  turn.release();
  await until(() => fixture.held?.ends.length === 3 && fixture.held.trial === undefined);
  await fixture.hear();
}

test('should keep a request shut out that the store has forgotten, and write that again', async () => {
  const entries = [fixture.entry('a'), fixture.entry('b')];
  const copy = fixture.store.copy();
  await shutOut(entries[0]);
  fixture.store.rollBackTo(copy);
  await fixture.hear();
  expect(standings(...entries)).toEqual(['shut-out', 'shut-out']);
  await until(() => fixture.held?.ends.length === 3);
  await fixture.hear();
  expect(standings(...entries)).toEqual(['shut-out', 'shut-out']);
});

test('should write again what was lost once, however many entries know of it', async () => {
  const reader = fixture.entry('a');
  const others = ['b', 'c', 'd', 'e'].map((box) => fixture.entry(box, false));
  const copy = fixture.store.copy();
  await shutOut(reader);
  fixture.store.rollBackTo(copy);
  await fixture.hear();
  const { writes } = fixture.store;
  await until(() => fixture.held !== undefined);
  await fixture.hear();
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
  await fixture.hear();
  await until(() => fixture.held?.ends.length === 3);
  expect(standings(other)).toEqual(['shut-out']);
});

test('should not bring back a suspicion that had been cleared', async () => {
  const entries = [fixture.entry('a'), fixture.entry('b')];
  fixture.suspect(entries[0], 's-1', 's-2');
  await until(() => fixture.held !== undefined);
  await fixture.hear();
  const copy = fixture.store.copy();
  entries[0].noteSuccess('f');
  await until(() => fixture.held === undefined);
  await fixture.hear();
  fixture.store.rollBackTo(copy);
  await fixture.hear();
  expect(standings(...entries)).toEqual(['free', 'free']);
  await until(() => fixture.held === undefined);
  await fixture.hear();
  expect(entries.map(({ isEmpty }) => isEmpty)).toEqual([true, true]);
});

test('should know what the store has lost beside what has come since', async () => {
  const entry = fixture.entry('a');
  fixture.suspect(entry, 's-1', 's-2');
  await until(() => fixture.held !== undefined);
  await fixture.hear();
  const copy = fixture.store.copy();
  await shutOut(entry);
  fixture.store.rollBackTo(copy);
  fixture.store.change(KIND, 'f', { ends: [{ server: 's-4', trial: 'another' }] });
  await fixture.hear();
  await until(() => fixture.held?.ends.length === 4);
  const servers = fixture.held?.ends.map(({ server }) => server).sort();
  expect(servers).toEqual(['s-1', 's-2', 's-3', 's-4']);
});

test('should write on an object older than the copy once a conflict has told of it twice', async () => {
  const entry = fixture.entry('a');
  fixture.suspect(entry, 's-1', 's-2');
  await until(() => fixture.held !== undefined);
  const copy = fixture.store.copy();
  await shutOut(entry);
  fixture.store.rollBackTo(copy, { tellsGeneration: false });
  const { writes } = fixture.store;
  fixture.store.mostWrites = writes + 20;
  void entry.noteServerExit('f', { server: 's-4', trial: '' });
  await until(() => fixture.held?.ends.length === 4);
  expect(fixture.store.writes - writes).toEqual(3);
});
