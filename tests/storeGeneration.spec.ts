/** How the adapter of the platform's store handles the generation in answers: in order, late, missing or garbled. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { PlatformStore } from '../platform/store.js';
import { generationOf, storeRevisionOf } from '../src/records/storeRevision.js';
import { PlatformStoreStandin } from '../standins/platformStoreStandin.js';

const NEVER = new AbortController().signal;
const WAIT = 500;
let standin: PlatformStoreStandin;
let store: PlatformStore;

beforeEach(async () => {
  standin = new PlatformStoreStandin();
  store = new PlatformStore(new URL(await standin.listen()).host, () => undefined);
  standin.put('servers', 'a', 1);
});

afterEach(() => standin.close());

test('should order the revisions of listings and writes by generation first', async () => {
  standin.era = 3;
  const listing = await store.list('servers', NEVER);
  expect(storeRevisionOf(listing.revision)).toEqual({ generation: 3, number: 1 });
  expect(storeRevisionOf(listing.objects[0].revision)).toEqual({ generation: 3, number: 1 });
  const [{ name, revision }] = listing.objects;
  const written = await store.put({ kind: 'servers', name, revision }, 2);
  expect(written).toEqual({ kind: 'done', revision: revision + 1 });
  const removed = await store.remove({ kind: 'servers', name, revision: revision + 1 });
  expect(removed).toEqual({ kind: 'done', revision: revision + 2 });
});

test('should report lost history to a watch of a former generation, even at a revision number that is assigned again', async () => {
  const { revision } = await store.list('servers', NEVER);
  const snapshot = standin.snapshot();
  standin.rollBackTo(snapshot);
  expect(await store.watch('servers', revision, 0, NEVER)).toEqual({ kind: 'history-lost' });
  const calls = standin.calls.length;
  expect(await store.watch('servers', revision, WAIT, NEVER)).toEqual({ kind: 'history-lost' });
  expect(standin.calls.length).toEqual(calls);
});

test('should report lost history to a watch that is answered after a rollback', async () => {
  const { revision } = await store.list('servers', NEVER);
  const watch = store.watch('servers', revision, WAIT, NEVER);
  standin.onCall = () => {
    standin.onCall = () => undefined;
    setImmediate(() => {
      standin.rollBackTo(standin.snapshot(), { keepsConnections: true });
      standin.put('servers', 'b', 1);
    });
  };
  expect(await watch).toEqual({ kind: 'history-lost' });
});

test('should not combine pages of two generations in one listing', async () => {
  for (const name of ['b', 'c', 'd']) standin.put('servers', name, 1);
  standin.onCall = (call) => {
    if (call.includes('since_rev')) standin.era++;
  };
  await expect(store.list('servers', NEVER)).toBeRejectedWith('two generations');
});

test('should reject a delayed answer of a former generation', async () => {
  standin.era = 2;
  await store.probe(WAIT, NEVER);
  standin.eraHeader = '1';
  await expect(store.list('servers', NEVER)).toBeRejectedWith('generation 1 after one of 2');
});

test('should count a store as available if it gives a stale answer of a former generation', async () => {
  standin.era = 2;
  await store.probe(WAIT, NEVER);
  standin.eraHeader = '1';
  expect(await store.probe(WAIT, NEVER)).toEqual(2);
  expect((await store.listStale('servers', NEVER)).objects.length).toEqual(1);
});

for (const header of ['', 'two', '-1', '1.5', '1e3', '99999999999', '8192']) {
  test(`should treat an answer with the generation '${header}' as one of the latest generation`, async () => {
    standin.era = 2;
    await store.probe(WAIT, NEVER);
    standin.eraHeader = header;
    expect(generationOf((await store.list('servers', NEVER)).revision)).toEqual(2);
    expect(await store.probe(WAIT, NEVER)).toEqual(2);
  });
}

test('should detect a rollback by an answer that reports a busy store', async () => {
  const { revision } = await store.list('servers', NEVER);
  standin.rollBackTo(standin.snapshot());
  standin.faults = { status: 503 };
  await expect(store.list('servers', NEVER)).toBeRejected();
  expect(await store.watch('servers', revision, WAIT, NEVER)).toEqual({ kind: 'history-lost' });
});

test('should not write to an object that it knows from a former generation', async () => {
  const { objects } = await store.list('servers', NEVER);
  standin.rollBackTo(standin.snapshot());
  await store.probe(WAIT, NEVER);
  const known = { kind: 'servers', name: 'a', revision: objects[0].revision };
  await expect(store.put(known, 2)).toBeRejectedWith('former generation');
  await expect(store.remove(known)).toBeRejectedWith('former generation');
  expect(standin.get('servers', 'a')?.spec).toEqual(1);
});
