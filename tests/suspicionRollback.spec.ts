/** Suspicions that a rollback of the store has lost. Only entries write them, so they have to restore them. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import type { SuspicionTracker } from '../src/crashes/suspicionTracker.js';
import { pause } from '../src/utils/timers.js';
import { KIND, REQUEST, SuspicionsFixture } from './fixtures/suspicionsFixture.js';
import { until } from './fixtures/until.js';

let fixture: SuspicionsFixture;

beforeEach(() => {
  fixture = new SuspicionsFixture();
});

afterEach(() => fixture.close());

function decisions(...entries: SuspicionTracker[]): string[] {
  return entries.map((entry) => entry.runDecision(REQUEST, 'other'));
}

/** Reports the exits of two servers under the request, and of a third one during its trial. */
async function shutOut(entry: SuspicionTracker): Promise<void> {
  fixture.reportTwoExits(entry, 's-1', 's-2');
  const gate = fixture.gate(entry, 'trial');
  await gate.wait();
  void entry.recordServerExit(REQUEST, { server: 's-3', trial: gate.trialIds[0] });
  gate.release();
  await until(
    () => fixture.storedSuspicion?.ends.length === 3 && fixture.storedSuspicion.trial === undefined,
  );
  await fixture.syncAfterPause();
}

test('should keep a request shut out after the store has lost its suspicion, and restore the suspicion', async () => {
  const entries = [fixture.entry('a'), fixture.entry('b')];
  const snapshot = fixture.store.snapshot();
  await shutOut(entries[0]);
  fixture.store.rollBackTo(snapshot);
  await fixture.sync();
  expect(decisions(...entries)).toEqual(['shut-out', 'shut-out']);
  await until(() => fixture.storedSuspicion?.ends.length === 3);
  await fixture.sync();
  expect(decisions(...entries)).toEqual(['shut-out', 'shut-out']);
});

test('should restore a suspicion with one write, however many entries know it', async () => {
  const reader = fixture.entry('a');
  const others = ['b', 'c', 'd', 'e'].map((box) => fixture.entry(box, false));
  const snapshot = fixture.store.snapshot();
  await shutOut(reader);
  fixture.store.rollBackTo(snapshot);
  await fixture.sync();
  const { writes } = fixture.store;
  await until(() => fixture.storedSuspicion !== undefined);
  await fixture.sync();
  expect(others.every((other) => other.counts.shutOut === 1)).toEqual(true);
  // longer than the wait of entries that don't read the store
  await pause(1_700);
  expect(fixture.store.writes - writes).toEqual(1);
});

test('should restore a suspicion when the entries that read the store have just started', async () => {
  const [former, other] = [fixture.entry('a'), fixture.entry('b', false)];
  const snapshot = fixture.store.snapshot();
  await shutOut(former);
  former.close();
  fixture.store.rollBackTo(snapshot);
  fixture.entry('a');
  await fixture.sync();
  await until(() => fixture.storedSuspicion?.ends.length === 3);
  expect(decisions(other)).toEqual(['shut-out']);
});

test('should not bring back a suspicion that was cleared', async () => {
  const entries = [fixture.entry('a'), fixture.entry('b')];
  fixture.reportTwoExits(entries[0], 's-1', 's-2');
  await until(() => fixture.storedSuspicion !== undefined);
  await fixture.sync();
  const snapshot = fixture.store.snapshot();
  entries[0].recordSuccess(REQUEST);
  await until(() => fixture.storedSuspicion === undefined);
  await fixture.sync();
  fixture.store.rollBackTo(snapshot);
  await fixture.sync();
  expect(decisions(...entries)).toEqual(['run', 'run']);
  await until(() => fixture.storedSuspicion === undefined);
  await fixture.sync();
  expect(entries.map(({ isEmpty }) => isEmpty)).toEqual([true, true]);
});

test('should merge a lost suspicion with a newer one in the store', async () => {
  const entry = fixture.entry('a');
  fixture.reportTwoExits(entry, 's-1', 's-2');
  await until(() => fixture.storedSuspicion !== undefined);
  await fixture.sync();
  const snapshot = fixture.store.snapshot();
  await shutOut(entry);
  fixture.store.rollBackTo(snapshot);
  fixture.store.change(KIND, 'f', { ends: [{ server: 's-4', trial: 'another' }] });
  await fixture.sync();
  await until(() => fixture.storedSuspicion?.ends.length === 4);
  const servers = fixture.storedSuspicion?.ends.map(({ server }) => server).sort();
  expect(servers).toEqual(['s-1', 's-2', 's-3', 's-4']);
});

test('should overwrite an object older than the copy after the second conflict with it', async () => {
  const entry = fixture.entry('a');
  fixture.reportTwoExits(entry, 's-1', 's-2');
  await until(() => fixture.storedSuspicion !== undefined);
  const snapshot = fixture.store.snapshot();
  await shutOut(entry);
  fixture.store.rollBackTo(snapshot, { startsGeneration: false });
  const { writes } = fixture.store;
  fixture.store.maxWrites = writes + 20;
  void entry.recordServerExit(REQUEST, { server: 's-4', trial: '' });
  await until(() => fixture.storedSuspicion?.ends.length === 4);
  expect(fixture.store.writes - writes).toEqual(3);
});
