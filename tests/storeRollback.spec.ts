/** Rollbacks of the store: later writes are lost, and their revision numbers are assigned again. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { PlatformRecordReader } from '../platform/records.js';
import { PlatformStore } from '../platform/store.js';
import { generationOf } from '../src/records/storeRevision.js';
import type { RecordSource } from '../src/records/sourceChoice.js';
import { PlatformStoreStandin } from '../standins/platformStoreStandin.js';
import type { StoreSnapshot } from '../standins/platformStoreStandin.js';
import { freePort } from './fixtures/freePort.js';
import { RecordEntry } from './fixtures/recordEntry.js';
import { until } from './fixtures/until.js';

const ENTRIES = 4;
/** More than the number of writes after the rollback, so that revision numbers stay below those of lost writes. */
const LOST_WRITES = 20;
const READER = new PlatformRecordReader();

let standin: PlatformStoreStandin;
let ranking: RecordSource[];
let entries: RecordEntry[] = [];

beforeEach(async () => {
  standin = new PlatformStoreStandin();
  const address = new URL(await standin.listen()).host;
  configure(1);
  announce(1);
  publish('a');
  const ports = await Promise.all(Array.from({ length: ENTRIES }, () => freePort()));
  ranking = ports.map((port, index) => ({ box: `entry-${index}`, address: `127.0.0.1:${port}` }));
  entries = [];
  for (const own of ranking) entries.push(entryAt(own, address));
  await Promise.all(entries.map(async (entry, index) => await entry.start(ports[index])));
  await all((entry) => entry.followers.isCurrent && configurationAt(entry) === 1);
});

afterEach(() => {
  for (const entry of entries) entry.stop();
  standin.close();
});

function entryAt(own: RecordSource, storeAddress: string): RecordEntry {
  return new RecordEntry(own, [], ranking, new PlatformStore(storeAddress, () => undefined), READER);
}

function configure(version: number): void {
  standin.put('config', 'main', { version, routes: [], services: [] });
}

function announce(version: number): void {
  standin.put('versions', 'm', { model: 'm', version });
}

function publish(id: string, changes: Record<string, unknown> = {}): void {
  const place = { service: 's', address: `127.0.0.1:${1_000 + id.charCodeAt(0)}`, zone: 'north', slots: 4 };
  const state = { state: 'ready', version: 'v1', cold_left_ms: 0, seq_no: 0 };
  standin.put('servers', id, { ...place, ...state, ...changes });
}

/** Takes a snapshot, then makes writes that a rollback to it loses. Returns the snapshot. */
function snapshotThenWrite(): StoreSnapshot {
  const snapshot = standin.snapshot();
  for (let count = 0; count < LOST_WRITES; count++) standin.put('other', 'object', count);
  return snapshot;
}

async function all(condition: (entry: RecordEntry) => boolean): Promise<void> {
  await until(() => entries.every(condition));
}

function configurationAt(entry: RecordEntry): number | undefined {
  return (entry.configuration as { version: number } | undefined)?.version;
}

function targetVersionAt(entry: RecordEntry): number | undefined {
  return (entry.followers.versions.objects.get('m')?.value as { version: number } | undefined)?.version;
}

/** The servers in force at an entry, as `id state`. */
function serversAt(entry: RecordEntry): string[] {
  const records = [...entry.followers.servers.objects.values()];
  return records.map((object) => `${object.name} ${(object.value as { state: string }).state}`).sort();
}

/** Whether an entry has current copies of all kinds from the generation after the rollback. */
function hasRolledBack(entry: RecordEntry): boolean {
  const { configuration, servers, versions, isCurrent } = entry.followers;
  const generations = [configuration, servers, versions].map(({ revision }) => generationOf(revision));
  return isCurrent && generations.every((generation) => generation === standin.era);
}

async function restart(index: number): Promise<void> {
  entries[index].stop();
  const own = { ...ranking[index], address: `127.0.0.1:${await freePort()}` };
  ranking[index] = own;
  entries[index] = entryAt(own, new URL(standin.url).host);
  await entries[index].start(Number(new URL(`http://${own.address}`).port));
}

test('should apply writes after a rollback', async () => {
  const snapshot = snapshotThenWrite();
  configure(2);
  await all((entry) => configurationAt(entry) === 2);
  standin.rollBackTo(snapshot);
  configure(3);
  publish('b');
  await all((entry) => configurationAt(entry) === 3 && serversAt(entry).includes('b ready'));
});

test('should apply writes after a rollback during a pending watch', async () => {
  const snapshot = snapshotThenWrite();
  await all((entry) => entry.followers.isCurrent);
  standin.rollBackTo(snapshot, { keepsConnections: true });
  configure(2);
  await all((entry) => configurationAt(entry) === 2);
});

test('should apply writes after two rollbacks in a row', async () => {
  const snapshot = snapshotThenWrite();
  configure(2);
  await all((entry) => configurationAt(entry) === 2);
  standin.rollBackTo(snapshot);
  await all(hasRolledBack);
  const second = snapshotThenWrite();
  standin.rollBackTo(second);
  configure(3);
  await all((entry) => configurationAt(entry) === 3);
});

test('should apply writes after a rollback during which the readers of the store were cut off', async () => {
  const snapshot = snapshotThenWrite();
  for (const entry of entries.slice(0, 2)) entry.store.cut = true;
  standin.rollBackTo(snapshot);
  await until(() => entries.slice(2).every(hasRolledBack));
  configure(2);
  await all((entry) => configurationAt(entry) === 2);
  for (const entry of entries) entry.store.cut = false;
  configure(3);
  await all((entry) => configurationAt(entry) === 3);
});

test('should retain a configuration that the store has lost, also at an entry that starts later', async () => {
  const snapshot = snapshotThenWrite();
  configure(2);
  await all((entry) => configurationAt(entry) === 2);
  standin.rollBackTo(snapshot);
  await all(hasRolledBack);
  expect(entries.map(configurationAt)).toEqual(entries.map(() => 2));
  await restart(3);
  await all((entry) => configurationAt(entry) === 2);
  await restart(0);
  await all((entry) => configurationAt(entry) === 2);
});

test('should retain a version of weights that the store has lost, and apply the next one', async () => {
  const snapshot = snapshotThenWrite();
  announce(2);
  await all((entry) => targetVersionAt(entry) === 2);
  standin.rollBackTo(snapshot);
  await all(hasRolledBack);
  expect(entries.map(targetVersionAt)).toEqual(entries.map(() => 2));
  announce(2);
  announce(3);
  await all((entry) => targetVersionAt(entry) === 3);
});

test('should not treat a draining server as ready again, until its next incarnation', async () => {
  publish('b');
  const snapshot = snapshotThenWrite();
  publish('b', { state: 'draining' });
  await all((entry) => serversAt(entry).includes('b draining'));
  standin.rollBackTo(snapshot);
  await all(hasRolledBack);
  expect(entries.map(serversAt)).toEqual(entries.map(() => ['a ready', 'b draining']));
  publish('b', { seq_no: 1 });
  await restart(0);
  await all((entry) => hasRolledBack(entry) && serversAt(entry).includes('b draining'));
  publish('b', { state: 'draining', seq_no: 2 });
  await until(() => entries.every((entry) => entry.followers.retainedRecords === 0));
  publish('b', { born: 1 });
  await all((entry) => serversAt(entry).includes('b ready'));
});

test('should not restore a deleted server, until its record would have expired', async () => {
  publish('b');
  publish('c');
  await all((entry) => serversAt(entry).length === 3);
  const snapshot = snapshotThenWrite();
  standin.remove('servers', 'b');
  standin.remove('servers', 'c');
  await all((entry) => serversAt(entry).join() === 'a ready');
  standin.rollBackTo(snapshot);
  await all(hasRolledBack);
  expect(entries.map(serversAt)).toEqual(entries.map(() => ['a ready']));
  standin.remove('servers', 'b');
  // a record that stays for longer than the expiry time is one that a running server renews
  await all((entry) => serversAt(entry).join() === 'a ready,c ready');
});

test('should not restore a server that was deleted between two rollbacks', async () => {
  publish('b');
  await all((entry) => serversAt(entry).length === 2);
  standin.rollBackTo(snapshotThenWrite());
  await all(hasRolledBack);
  const readers = entries.filter((entry) => entry.followers.isReading);
  await until(() => readers.every(({ lines }) => lines.some((line) => line.includes('store.rolled-back'))));
  // while an outage is recent, missing servers may only have expired; load on the test machine can cause one
  await all((entry) => hasRolledBack(entry) && !entry.followers.serversMayBeMissing);
  const snapshot = snapshotThenWrite();
  standin.remove('servers', 'b');
  await all((entry) => serversAt(entry).join() === 'a ready');
  standin.rollBackTo(snapshot);
  await all(hasRolledBack);
  expect(entries.map(serversAt)).toEqual(entries.map(() => ['a ready']));
});

test('should keep a server whose record the store has lost until the server would have renewed it', async () => {
  const snapshot = snapshotThenWrite();
  publish('b');
  publish('c');
  await all((entry) => serversAt(entry).length === 3);
  standin.rollBackTo(snapshot);
  await all(hasRolledBack);
  expect(entries.map(serversAt)).toEqual(entries.map(() => ['a ready', 'b ready', 'c ready']));
  publish('b');
  await all((entry) => serversAt(entry).join() === 'a ready,b ready');
});

test('should log a rollback, and the records that are retained and released after it', async () => {
  const snapshot = snapshotThenWrite();
  configure(2);
  await all((entry) => configurationAt(entry) === 2);
  standin.rollBackTo(snapshot);
  await all(hasRolledBack);
  const [reader] = entries;
  const line = (step: string): string => reader.lines.find((one) => one.includes(`"${step}"`)) ?? '';
  await until(() => line('store.rolled-back') !== '');
  expect(line('store.rolled-back')).toInclude('"generation":1,"former":0');
  expect(line('record.retained')).toInclude('"kind":"config","name":"main","reason":"replaced"');
  configure(3);
  await until(() => line('record.released') !== '');
  expect(line('record.released')).toInclude('"reason":"written again"');
});
