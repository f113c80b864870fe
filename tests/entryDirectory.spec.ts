/** Tests which entries the directory lists, depending on the reports of agents. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import type { EntryAddress } from '../src/protocol/boxMessages.js';
import { maximumDetectionMilliseconds } from '../src/protocol/livenessTimeouts.js';
import { REMEMBERED_MILLISECONDS } from '../src/serving/entryDirectory.js';
import { gatewaySettingsSchema } from '../src/settings/gatewaySettings.js';
import { MAX_BATCH_DELAY_MILLISECONDS } from '../src/staging/connectedEntries.js';
import { PEER_TIMEOUT_MILLISECONDS, subscribedDirectory } from './fixtures/subscribedDirectory.js';
import { DirectoryFixture } from './fixtures/directoryFixture.js';
import { StallingProxy } from './fixtures/stallingProxy.js';
import { until } from './fixtures/until.js';

let fixture: DirectoryFixture;

beforeEach(() => {
  fixture = new DirectoryFixture();
});

afterEach(() => fixture.stop());

function entry(box: string, dataCentre = 'north'): EntryAddress {
  return { box, dataCentre, address: `${box}:80`, control: `${box}:81`, leaving: false };
}

function all(...boxes: string[]): { whole: boolean; entries: EntryAddress[]; gone: string[] } {
  return { whole: true, entries: boxes.map((box) => entry(box)), gone: [] };
}

function change(
  boxes: string[],
  gone: string[],
): { whole: boolean; entries: EntryAddress[]; gone: string[] } {
  return { whole: false, entries: boxes.map((box) => entry(box)), gone };
}

/**
 * Guards against listing an entry that has lost power. When boxes are added, another agent can replace one of the
 * four directory agents, which stays connected because requests go to its backend server. It sends no more updates,
 * and its last list was kept and used as if it were current. An entry that then lost power was still listed more
 * than 6 s later, although agents consider an entry lost after 2 s of silence.
 */
test('should not list a stopped entry because of an agent without a subscription', async () => {
  const [own, lost] = [fixture.addEntry('a'), fixture.addEntry('b')];
  const before = await fixture.addAgents(9);
  for (const each of [own, lost]) each.select(before);
  await until(() => own.listsEntry('b'));
  const subscribed = own.selection.directory;
  const after = await fixture.addAgents(6);
  for (const each of [own, lost]) each.select(after);
  expect([...subscribed].some((box) => !own.selection.directory.has(box))).toEqual(true);
  await until(() => own.recording.steps().includes('agent.not-asked'));
  lost.close();
  await until(() => !own.listsEntry('b'));
});

/** The same failure without connections: the report of the former directory agent must not outlive all others. */
test('should drop the report of an agent when its subscription ends', () => {
  const { directory } = subscribedDirectory('one', 'two');
  directory.applyList('one', all('a', 'b'));
  directory.applyList('two', all('a', 'b'));
  directory.unsubscribe('one');
  directory.applyList('two', change([], ['b']));
  expect(directory.addressesFor('north')).toEqual(['a:80']);
});

test('should not list an entry that falls silent while its connections stay open', async () => {
  // A short timeout keeps the test short. An entry that loses its connections on a busy machine reconnects.
  const short = new DirectoryFixture(1_000);
  const [own, silent, live] = ['a', 'b', 'c'].map((box) => short.addEntry(box));
  const agents = await short.addAgents(4);
  const relays = agents.map(({ address }) => new StallingProxy(address));
  const addresses = await Promise.all(relays.map(async (relay) => await relay.listen()));
  try {
    for (const each of [own, live]) each.select(agents);
    silent.select(agents.map((agent, index) => ({ ...agent, address: addresses[index] })));
    await until(() => own.listsEntry('b') && own.listsEntry('c') && silent.links.connected === agents.length);
    for (const relay of relays) relay.stall();
    await until(() => !own.listsEntry('b') && own.listsEntry('c'));
  } finally {
    short.stop();
    for (const relay of relays) relay.close();
  }
});

test('should keep its reports when an agent is deselected and selected again at once', async () => {
  const [own, other] = [fixture.addEntry('a'), fixture.addEntry('b')];
  const agents = await fixture.addAgents(9);
  for (const each of [own, other]) each.select(agents);
  await until(() => own.listsEntry('b'));
  own.unsubscribeFrom(own.selection.directory);
  own.select(agents);
  own.links.announceNow();
  expect(own.recording.steps()).not.toInclude('agent.not-asked');
  expect(own.listsEntry('b')).toEqual(true);
});

test('should ignore changes before the complete list', () => {
  const { directory } = subscribedDirectory('one');
  directory.applyList('one', change(['b'], []));
  expect(directory.addressesFor('north')).toEqual(['a:80']);
  directory.applyList('one', all('a', 'c'));
  expect(directory.addressesFor('north')).toEqual(['a:80', 'c:80']);
});

test('should ignore a list that arrives after the end of the subscription', () => {
  const { directory } = subscribedDirectory('one', 'two');
  directory.applyList('two', all('a'));
  directory.unsubscribe('one');
  directory.applyList('one', all('a', 'b'));
  expect(directory.addressesFor('north')).toEqual(['a:80']);
});

test('should wait for the complete list after subscribing again', () => {
  const { directory, activity } = subscribedDirectory('one', 'two');
  for (const agent of ['one', 'two']) directory.applyList(agent, all('a', 'b'));
  directory.unsubscribe('one');
  directory.subscribe('one', activity);
  directory.applyList('one', change(['c'], []));
  directory.applyList('two', change([], ['b']));
  expect(directory.addressesFor('north')).toEqual(['a:80']);
});

test('should drop reports from an earlier connection', () => {
  const { directory, activity } = subscribedDirectory('one', 'two');
  directory.applyList('one', all('a', 'b'));
  directory.applyList('two', all('a'));
  directory.subscribe('one', activity);
  expect(directory.addressesFor('north')).toEqual(['a:80']);
});

test('should list unconfirmed entries for a bounded time, and then only itself', () => {
  const { directory, clock } = subscribedDirectory('one');
  directory.applyList('one', all('a', 'b'));
  directory.unsubscribe('one');
  clock.advance(REMEMBERED_MILLISECONDS);
  expect(directory.addressesFor('north')).toEqual(['a:80', 'b:80']);
  clock.advance(1);
  expect(directory.addressesFor('north')).toEqual(['a:80']);
});

test('should remember entries from when the agent was last heard, not from the end of its connection', () => {
  const { directory, activity } = subscribedDirectory('one');
  directory.applyList('one', all('a', 'b'));
  activity.silentMilliseconds = REMEMBERED_MILLISECONDS + 1;
  directory.unsubscribe('one');
  expect(directory.addressesFor('north')).toEqual(['a:80']);
});

test('should keep the number of sharing entries and the record sources when no agent reports', () => {
  const { directory, clock } = subscribedDirectory('one');
  directory.applyList('one', all('a', 'b', 'c'));
  const sources = directory.recordSources();
  directory.unsubscribe('one');
  clock.advance(3_600_000);
  expect(directory.addressesFor('north')).toEqual(['a:80']);
  expect([directory.count(), directory.countInOwnDataCentre()]).toEqual([3, 3]);
  expect(directory.recordSources()).toEqual(sources);
});

test('should keep the number of sharing entries for a while when other agents report fewer', () => {
  const { directory, clock, activity } = subscribedDirectory('one');
  directory.applyList('one', all('a', 'b', 'c'));
  directory.unsubscribe('one');
  directory.subscribe('two', activity);
  directory.applyList('two', all('a'));
  expect([directory.count(), directory.countInOwnDataCentre()]).toEqual([3, 3]);
  clock.advance(1_500);
  expect([directory.count(), directory.countInOwnDataCentre()]).toEqual([1, 1]);
});

test('should list only entries that were confirmed since a pause of the process', () => {
  const { directory, clock, activity } = subscribedDirectory('one');
  directory.applyList('one', all('a', 'b'));
  clock.advance(10_000);
  activity.silentMilliseconds = 10_000;
  expect(directory.addressesFor('north')).toEqual(['a:80']);
  expect(directory.count()).toEqual(2);
  activity.silentMilliseconds = 0;
  expect(directory.addressesFor('north')).toEqual(['a:80', 'b:80']);
});

/** No response may list an entry that stopped longer ago than the contact time plus three seconds. */
test('should list a stopped entry for much less than the time allowed, whichever agents fall silent', () => {
  const GRACE_MILLISECONDS = 3_000;
  const NETWORK_MILLISECONDS = 500;
  const { contactMilliseconds, peerTimeoutMilliseconds } = gatewaySettingsSchema.shape;
  const allowed = contactMilliseconds.parse(undefined) + GRACE_MILLISECONDS;
  const timeout = peerTimeoutMilliseconds.parse(undefined);
  expect(timeout).toEqual(PEER_TIMEOUT_MILLISECONDS);
  const reportDelay = maximumDetectionMilliseconds(timeout) + MAX_BATCH_DELAY_MILLISECONDS;
  const longest = reportDelay + Math.max(maximumDetectionMilliseconds(timeout), REMEMBERED_MILLISECONDS);
  expect(longest + NETWORK_MILLISECONDS).toBeLessThan(allowed);
});

test('should remember entries from when the latest of several agents was last heard', () => {
  const { directory, activity } = subscribedDirectory('one');
  directory.subscribe('two', { silentMilliseconds: 0 });
  const list = ['a', 'b'].map((box) => ({
    box,
    dataCentre: 'north',
    address: `${box}:80`,
    control: `${box}:81`,
    leaving: false,
  }));
  for (const agent of ['one', 'two']) directory.applyList(agent, { whole: true, entries: list, gone: [] });
  activity.silentMilliseconds = 2_300;
  directory.unsubscribe('two');
  expect(directory.addressesFor('north')).toEqual(['a:80', 'b:80']);
  directory.unsubscribe('one');
  expect(directory.addressesFor('north')).toEqual(['a:80', 'b:80']);
});

/** Guards against filling up a short list with entries that the home regions of the host exclude. */
test('should not list entries that may not be named, however few are left', () => {
  const { directory } = subscribedDirectory('agent');
  const mayName = (dataCentre: string): boolean => dataCentre === 'west';
  const entries = [entry('b'), entry('c', 'south'), entry('d', 'west')];
  directory.applyList('agent', { whole: true, entries, gone: [] });
  expect(directory.addressesFor('north', mayName)).toEqual(['d:80']);
  directory.applyList('agent', {
    whole: false,
    entries: [{ ...entry('d', 'west'), leaving: true }],
    gone: [],
  });
  expect(directory.addressesFor('north', mayName)).toEqual([]);
});
