/** Entries that share the records which a few of them read from the store, while these entries or the store fail. */
import net from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { isDeepStrictEqual } from 'node:util';
import { expect } from 'earl';
import { READER_COUNT } from '../src/records/sourceChoice.js';
import { PlatformStore } from '../platform/store.js';
import { PlatformStoreStandin } from '../standins/platformStoreStandin.js';
import { freePort } from './fixtures/freePort.js';
import { RecordEntry } from './fixtures/recordEntry.js';
import { until } from './fixtures/until.js';

/** Each reader watches four kinds. */
const WATCHES = READER_COUNT * 4;

let standin: PlatformStoreStandin;
let store: PlatformStore;
let entries: RecordEntry[] = [];

beforeEach(async () => {
  standin = new PlatformStoreStandin();
  store = new PlatformStore(new URL(await standin.listen()).host, () => undefined);
  standin.put('config', 'main', 1);
  entries = [];
});

afterEach(() => {
  for (const entry of entries) entry.stop();
  standin.close();
});

async function startEntries(count: number): Promise<void> {
  const ports = await Promise.all(Array.from({ length: count }, () => freePort()));
  const ranking = ports.map((port, index) => ({ box: `entry-${index}`, address: `127.0.0.1:${port}` }));
  entries = ranking.map((own) => new RecordEntry(own, [], ranking, store));
  await Promise.all(entries.map(async (entry, index) => await entry.start(ports[index])));
  await until(() => entries.every((entry) => entry.configuration === 1 && entry.followers.isCurrent));
  // the other entries are current as soon as one reads; the second reader may start a tick later
  await until(() => entries.slice(0, READER_COUNT).every((entry) => entry.followers.isReading));
}

function strongCalls(): string[] {
  return standin.calls.filter((call) => !call.includes('stale=1'));
}

test('should read the store at two entries and send its records to all', async () => {
  await startEntries(6);
  const readers = (): boolean[] => entries.map((entry) => entry.followers.isReading);
  await until(() => isDeepStrictEqual(readers(), [true, true, false, false, false, false]));
  await until(() => strongCalls().filter((call) => call.includes('watch=')).length >= WATCHES);
  const before = strongCalls().length;
  standin.put('config', 'main', 2);
  await until(() => entries.every((entry) => entry.configuration === 2));
  await until(() => strongCalls().length - before >= WATCHES);
  expect(strongCalls().length - before).toEqual(WATCHES);
  expect(readers()).toEqual([true, true, false, false, false, false]);
});

test('should send changes to all entries when a reader is cut off from the store', async () => {
  await startEntries(5);
  entries[0].store.cut = true;
  await until(() => entries[0].lines.some((line) => line.includes('store.lost')));
  standin.put('config', 'main', 2);
  await until(() => entries.every((entry) => entry.configuration === 2 && entry.followers.isCurrent));
});

test('should read at others when both readers are cut off from the store', async () => {
  await startEntries(5);
  const readers = entries.slice(0, 2);
  for (const reader of readers) reader.store.cut = true;
  await until(() => readers.every(({ lines }) => lines.some((line) => line.includes('store.lost'))));
  standin.put('config', 'main', 2);
  await until(() => entries.every((entry) => entry.configuration === 2 && entry.followers.isCurrent));
  expect(entries.slice(2).some((entry) => entry.followers.isReading)).toEqual(true);
  expect(entries[4].lines.some((line) => line.includes('has lost the store'))).toEqual(true);
});

test('should detect a reader whose watches hang by comparing it with the other one', async () => {
  await startEntries(4);
  entries[0].store.watchesHang = true;
  standin.put('config', 'main', 2);
  await until(() => entries.every((entry) => entry.configuration === 2));
  await until(() => entries.every((entry) => entry.followers.isCurrent));
});

test('should go on when both readers are gone', async () => {
  await startEntries(5);
  for (const entry of entries.slice(0, 2)) entry.stop();
  standin.put('config', 'main', 2);
  const left = entries.slice(2);
  await until(() => left.every((entry) => entry.configuration === 2 && entry.followers.isCurrent));
});

test('should not trust its copy while no entry reaches the store, and trust it again afterwards', async () => {
  await startEntries(3);
  standin.faults = { status: 503 };
  await until(() => entries.every((entry) => !entry.followers.isCurrent));
  expect(entries.every((entry) => entry.configuration === 1)).toEqual(true);
  standin.put('config', 'main', 2);
  standin.faults = {};
  await until(() => entries.every((entry) => entry.configuration === 2 && entry.followers.isCurrent));
});

test('should copy the records of a seed when it starts while the store does not answer', async () => {
  await startEntries(2);
  standin.faults = { silent: true };
  const port = await freePort();
  const own = { box: 'late', address: `127.0.0.1:${port}` };
  const seeds = entries.map(({ address }) => address);
  const late = new RecordEntry(own, seeds, [own], store);
  entries.push(late);
  await late.start(port);
  await until(() => late.configuration === 1);
  expect(late.followers.configuration.revision).toBeGreaterThan(0);
});

test('should load a stale copy at once when its seeds do not answer, and trust it once the store has confirmed it', async () => {
  const port = await freePort();
  const own = { box: 'restarted', address: `127.0.0.1:${port}` };
  const seeds = [`127.0.0.1:${await silentPort()}`, `127.0.0.1:${await silentPort()}`];
  const restarted = new RecordEntry(own, seeds, [own], store);
  entries.push(restarted);
  await restarted.start(port);
  await until(() => restarted.configuration === 1);
  expect(restarted.followers.isReading).toEqual(false);
  expect(restarted.followers.isCurrent).toEqual(false);
  await until(() => restarted.followers.isCurrent);
});

test('should read the store when no other entry can be reached', async () => {
  const port = await freePort();
  const own = { box: 'alone', address: `127.0.0.1:${port}` };
  const alone = new RecordEntry(own, [`127.0.0.1:${await silentPort()}`], [own], store);
  entries.push(alone);
  await alone.start(port);
  await until(() => alone.configuration === 1 && alone.followers.isCurrent);
});

/** Opens a port that accepts connections and never answers, like that of a frozen process. */
async function silentPort(): Promise<number> {
  const server = net.createServer(() => undefined);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  server.unref();
  return (server.address() as net.AddressInfo).port;
}

/** Guards against an entry that stays unready beside sources of an older build, which do not have the kind. */
test('should log once that a source does not provide a kind, and follow the kind once a source does', async () => {
  await startEntries(2);
  standin.put('evacuations', 'north', {});
  const port = await freePort();
  const own = { box: 'newer', address: `127.0.0.1:${port}` };
  const seeds = entries.map(({ address }) => address);
  const newer = new RecordEntry(own, seeds, [own], store, undefined, true);
  entries.push(newer);
  await newer.start(port);
  const notProvided = (): string[] => newer.lines.filter((line) => line.includes('records.not-provided'));
  await until(() => newer.followers.isWithoutEvacuations && newer.followers.isCurrent);
  for (const version of [2, 3]) {
    // each change is followed by a stamp
    standin.put('config', 'main', version);
    await until(() => newer.configuration === version);
  }
  expect(notProvided().length).toEqual(1);
  const evacuations = newer.followers.evacuations!;
  expect([evacuations.revision, [...evacuations.objects.keys()]]).toEqual([0, ['north']]);
  for (const entry of entries.slice(0, 2)) entry.stop();
  await until(() => evacuations.revision > 0 && !newer.followers.isWithoutEvacuations);
});
