/** The adapter of the platform's store, and the followers of its kinds, against a stand-in. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { PlatformStore } from '../platform/store.js';
import { KindFollower } from '../src/records/kindFollower.js';
import { RecordReplica } from '../src/records/recordReplica.js';
import { StoreReader } from '../src/records/storeReader.js';
import { EventLog } from '../src/telemetry/eventLog.js';
import { SystemClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';
import { PlatformStoreStandin } from '../standins/platformStoreStandin.js';
import { until } from './fixtures/until.js';

const NEVER = new AbortController().signal;
let standin: PlatformStoreStandin;
let store: PlatformStore;
let replica: RecordReplica;
let follower: KindFollower;
let reader: StoreReader | undefined;
let nameless: string[] = [];

beforeEach(async () => {
  standin = new PlatformStoreStandin();
  const url = new URL(await standin.listen());
  nameless = [];
  store = new PlatformStore(url.host, (kind, reason) => nameless.push(`${kind}: ${reason}`));
  const log = new EventLog({ write: () => undefined }, 'off');
  replica = new RecordReplica('servers');
  follower = new KindFollower({
    replica,
    store,
    random: new SeededRandom(1),
    log,
    urgentBatchMilliseconds: 20,
    minorBatchMilliseconds: 20,
  });
});

function readerOf(one: KindFollower): StoreReader {
  const log = new EventLog({ write: () => undefined }, 'off');
  reader = new StoreReader({ followers: [one], store, clock: new SystemClock(), log });
  return reader;
}

afterEach(() => {
  reader?.stop();
  follower.stop();
  standin.close();
});

test('should list all pages of a kind', async () => {
  for (const name of ['a', 'b', 'c', 'd', 'e']) standin.put('servers', name, { name });
  standin.put('config', 'main', {});
  const listing = await store.list('servers', NEVER);
  expect(listing.objects.map((object) => object.name)).toEqual(['a', 'b', 'c', 'd', 'e']);
  expect(listing.revision).toEqual(6);
});

test('should list all pages with stale reads, which cost a fraction', async () => {
  for (const name of ['a', 'b', 'c']) standin.put('servers', name, { name });
  const listing = await store.listStale('servers', NEVER);
  expect(listing.objects.map((object) => object.name)).toEqual(['a', 'b', 'c']);
  expect(standin.calls.every((call) => call.includes('stale=1'))).toEqual(true);
  expect(standin.calls.length).toEqual(2);
});

test('should not miss a change on an earlier page while later pages are listed', async () => {
  for (const name of ['a', 'b', 'c']) standin.put('servers', name, 'ready');
  standin.onCall = (call) => {
    if (call.includes('since_rev')) standin.put('servers', 'a', 'draining');
  };
  follower.start();
  await until(() => replica.objects.get('a')?.value === 'draining');
});

test('should report changes and deletions after a revision', async () => {
  standin.put('servers', 'a', 1);
  standin.put('servers', 'b', 2);
  standin.remove('servers', 'a');
  const changes = await store.watch('servers', 1, 1_000, NEVER);
  if (changes.kind !== 'changes') throw new Error('history should be there');
  expect(changes.changes.map(({ object, gone }) => [object.name, gone])).toEqual([
    ['b', false],
    ['a', true],
  ]);
});

test('should report that history was lost', async () => {
  standin.put('servers', 'a', 1);
  standin.dropHistory();
  expect(await store.watch('servers', 0, 1_000, NEVER)).toEqual({ kind: 'history-lost' });
});

for (const [what, faults] of [
  ['a store that is busy', { status: 503 }],
  ['a store that limits calls', { status: 429 }],
  ['an answer that is not JSON', { invalidJson: true }],
] as const) {
  test(`should fail with the name of the step on ${what}`, async () => {
    standin.faults = { ...faults };
    await expect(store.list('servers', NEVER)).toBeRejectedWith('store.list');
    await expect(store.watch('servers', 1, 1_000, NEVER)).toBeRejectedWith('store.watch');
  });
}

test('should follow changes', async () => {
  standin.put('servers', 'a', 1);
  follower.start();
  await until(() => replica.objects.size === 1);
  standin.put('servers', 'b', 2);
  await until(() => replica.objects.size === 2);
  standin.remove('servers', 'a');
  await until(() => replica.objects.size === 1);
  expect([...replica.objects.keys()]).toEqual(['b']);
});

test('should fetch changes that come close together in few calls', async () => {
  standin.put('servers', 'a', 0);
  follower.start();
  await until(() => replica.objects.has('a'));
  const before = standin.calls.length;
  for (let change = 1; change <= 50; change++) {
    standin.put('servers', 'a', change);
    await new Promise((resolve) => setImmediate(resolve));
  }
  await until(() => replica.objects.get('a')?.value === 50);
  expect(standin.calls.length - before).toBeLessThan(10);
});

test('should detect a deletion while the store discarded its history', async () => {
  standin.put('servers', 'a', 1);
  standin.put('servers', 'b', 2);
  follower.start();
  await until(() => replica.objects.size === 2);
  standin.faults = { status: 503 };
  // ends a pending watch without a change of this kind
  standin.put('config', 'main', 1);
  await until(() => !follower.reachable);
  standin.remove('servers', 'a');
  standin.dropHistory();
  expect(replica.objects.size).toEqual(2);
  standin.faults = {};
  await until(() => follower.reachable);
  expect([...replica.objects.keys()]).toEqual(['b']);
});

test('should keep its copy while the store is unavailable', async () => {
  standin.put('servers', 'a', 1);
  follower.start();
  await until(() => replica.objects.size === 1);
  standin.faults = { status: 503 };
  standin.put('servers', 'b', 2);
  await until(() => !follower.reachable);
  expect(replica.objects.size >= 1).toEqual(true);
});

test('should not trust a watch that was opened before the store was lost', async () => {
  standin.put('servers', 'a', 1);
  const started = readerOf(follower);
  started.start();
  await until(() => standin.calls.some((call) => call.includes('watch=')));
  standin.abandonWatches();
  standin.put('servers', 'b', 2);
  standin.faults = { silent: true };
  await until(() => started.confirmedAt === Number.NEGATIVE_INFINITY);
  expect(replica.objects.size).toEqual(1);
  standin.faults = {};
  await until(() => replica.objects.size === 2);
  await until(() => started.confirmedAt > 0);
  expect(started.regainedAt).toBeGreaterThan(0);
});

test('should only probe a store that does not answer, because each call has a cost', async () => {
  const started = readerOf(follower);
  started.start();
  await until(() => started.confirmedAt > 0);
  standin.faults = { status: 503 };
  standin.put('servers', 'a', 1);
  await until(() => started.confirmedAt === Number.NEGATIVE_INFINITY);
  standin.calls.length = 0;
  const lastCalls = (): string[] => standin.calls.slice(-3);
  await until(() => lastCalls().length === 3 && lastCalls().every((call) => call.includes('stale=1')));
  expect(standin.calls.length).toBeLessThan(12);
});

test('should start with a listing when it starts to read again', async () => {
  const started = readerOf(follower);
  standin.put('servers', 'a', 1);
  started.start();
  await until(() => replica.objects.size === 1);
  started.stop();
  standin.remove('servers', 'a');
  standin.dropHistory();
  started.start();
  await until(() => replica.objects.size === 0);
});

test('should list after a failed call, because a watch may hang on discarded history', async () => {
  standin.put('servers', 'a', 1);
  follower.start();
  await until(() => standin.calls.some((call) => call.includes('watch=')));
  standin.faults = { status: 503 };
  standin.put('servers', 'b', 2);
  await until(() => !follower.reachable);
  standin.calls.length = 0;
  standin.faults = {};
  await until(() => follower.reachable);
  const answered = standin.calls.filter((call) => !call.includes('stale'));
  expect(answered.some((call) => call === 'GET /objects/servers')).toEqual(true);
});

/** Objects as another writer may leave them. If their own revision is invalid, that of the answer is used. */
const GOOD = { metadata: { name: 'good', revision: 1 }, spec: 'x' };
function nested(levels: number): unknown {
  let value: unknown = 'innermost';
  for (let level = 0; level < levels; level++) value = [value];
  return value;
}

for (const [what, object] of [
  ['without a revision', { metadata: { name: 'bad' }, spec: 1 }],
  ['with a string as its revision', { metadata: { name: 'bad', revision: '7' }, spec: 1 }],
  ['with a fractional revision', { metadata: { name: 'bad', revision: 1.5 }, spec: 1 }],
  ['with a negative revision', { metadata: { name: 'bad', revision: -1 }, spec: 1 }],
  ['with a huge revision', { metadata: { name: 'bad', revision: 1e300 }, spec: 1 }],
  ['nested hundreds of levels deep', { metadata: { name: 'bad', revision: 1 }, spec: nested(500) }],
] as const) {
  test(`should list an object ${what} without a value, and all others as they are`, async () => {
    standin.answer = { entries: [object, GOOD], at: 9 };
    expect((await store.list('servers', NEVER)).objects).toEqual([
      { name: 'bad', revision: 9, value: undefined },
      { name: 'good', revision: 1, value: 'x' },
    ]);
    standin.answer = { events: [{ object }, { object: GOOD }], at: 9 };
    const changes = await store.watch('servers', 1, 1_000, NEVER);
    expect(changes.kind === 'changes' && changes.changes.map((change) => change.object.name)).toEqual([
      'bad',
      'good',
    ]);
    expect(nameless).toEqual([]);
  });
}

for (const [what, object] of [
  ['no object at all', 'text'],
  ['nothing', null],
  ['a list', [1, 2]],
  ['an object without metadata', { spec: 1 }],
  ['an object without a name', { metadata: { revision: 1 }, spec: 1 }],
  ['an object whose name is a number', { metadata: { name: 7, revision: 1 }, spec: 1 }],
  ['an object whose name is empty', { metadata: { name: '', revision: 1 }, spec: 1 }],
] as const) {
  test(`should skip and report ${what}`, async () => {
    standin.answer = { entries: [object, GOOD], at: 9 };
    expect((await store.list('servers', NEVER)).objects.map(({ name }) => name)).toEqual(['good']);
    standin.answer = { events: [{ object }, { object: GOOD }], at: 9 };
    const changes = await store.watch('servers', 1, 1_000, NEVER);
    expect(changes.kind === 'changes' && changes.changes.length).toEqual(1);
    expect(nameless.length).toEqual(2);
  });
}

test('should skip invalid events', async () => {
  standin.answer = { events: [7, null, { gone: true }, { object: GOOD, gone: 'yes' }], at: 9 };
  const changes = await store.watch('servers', 1, 1_000, NEVER);
  expect(changes).toEqual({
    kind: 'changes',
    revision: 9,
    changes: [{ object: { name: 'good', revision: 1, value: 'x' }, gone: false }],
  });
});

test('should drop the value of an object that became unreadable, until it is readable again', async () => {
  standin.put('servers', 'a', 1);
  follower.start();
  await until(() => replica.objects.get('a')?.value === 1);
  const object = { metadata: { name: 'a' }, spec: 2 };
  standin.answer = { events: [{ object }], at: 5 };
  standin.put('servers', 'b', 1);
  await until(() => replica.objects.get('a')?.value === undefined);
  standin.answer = undefined;
  for (let change = 0; change < 6; change++) standin.put('servers', 'a', 3);
  await until(() => replica.objects.get('a')?.value === 3);
});

test('should create, replace and delete an object at its known revision', async () => {
  const object = { kind: 'own', name: 'a' };
  expect(await store.put({ ...object, revision: 0 }, { x: 1 })).toEqual({ kind: 'done', revision: 1 });
  expect(await store.put({ ...object, revision: 1 }, { x: 2 })).toEqual({ kind: 'done', revision: 2 });
  expect(standin.get('own', 'a')?.spec).toEqual({ x: 2 });
  expect(await store.remove({ ...object, revision: 2 })).toEqual({ kind: 'done', revision: 3 });
  expect(standin.get('own', 'a')).toEqual(undefined);
});

test('should return the current object when another client has written it', async () => {
  const object = { kind: 'own', name: 'a' };
  standin.put('own', 'a', { x: 1 });
  standin.put('own', 'a', { x: 2 });
  const conflict = { kind: 'conflict', object: { name: 'a', revision: 2, value: { x: 2 } } } as const;
  expect(await store.put({ ...object, revision: 0 }, {})).toEqual(conflict);
  expect(await store.put({ ...object, revision: 1 }, {})).toEqual(conflict);
  expect(await store.remove({ ...object, revision: 1 })).toEqual(conflict);
  standin.remove('own', 'a');
  expect(await store.put({ ...object, revision: 2 }, {})).toEqual({ kind: 'conflict', object: undefined });
  expect(await store.remove({ ...object, revision: 2 })).toEqual({ kind: 'conflict', object: undefined });
});

test('should not report a refused write as done', async () => {
  standin.faults = { status: 503 };
  await expect(store.put({ kind: 'own', name: 'a', revision: 0 }, {})).toBeRejectedWith('status 503');
});
