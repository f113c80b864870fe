/** Tests the messages between a gateway and its agents. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { answers } from '../standins/scriptedBackend.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { until } from './fixtures/until.js';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

/** Starts a gateway with `count` engines and a peer timeout long enough for a busy machine. */
async function startEngines(count: number): Promise<void> {
  const scripts = Array.from({ length: count }, () => answers({ status: 200 }));
  await fixture.startEngines(scripts, {}, { peerTimeoutMilliseconds: 5_000 });
}

test('should report the versions that it knows to its agents', async () => {
  await startEngines(1);
  fixture.store.set('versions', { main: { model: 'model', version: 2 } });
  const heard = (): number[] | undefined =>
    fixture
      .presences(0)
      .at(-1)
      ?.heard?.map(({ version }) => version);
  await until(() => heard()?.includes(2) === true);
});

test('should send a new presence when an agent reports a version', async () => {
  await startEngines(1);
  // Two versions, because a presence that was pending since the start could already contain the first one.
  for (const version of [2, 3]) {
    fixture.sendVersionsHeard(0, version, 100);
    await until(() => fixture.presences(0).at(-1)?.wanted[0]?.version === version);
  }
});

test('should probe the link of an agent once after connecting', async () => {
  await startEngines(1);
  await until(() => fixture.presences(0).length > 0 && fixture.probes(0) > 0);
  expect(fixture.probes(0)).toEqual(1);
});

test('should keep probing the link of a box while its server has an older version', async () => {
  await startEngines(2);
  fixture.setServer(0, { models: [{ name: 'model', version: 1 }] });
  fixture.setServer(1, { models: [{ name: 'model', version: 2 }] });
  fixture.sendVersionsHeard(0, 2, 100);
  await until(() => fixture.probes(0) > 3);
  expect(fixture.probes(1)).toBeLessThan(2);
});

async function listed(): Promise<string[]> {
  const answer = await fetch(`http://${fixture.directory}/entries?dataCentre=north`);
  return ((await answer.json()) as { addresses: string[] }).addresses;
}

test('should not list entries reported only by an agent that is connected but no longer subscribed to', async () => {
  await startEngines(5);
  const indices = [...fixture.backends.keys()];
  const subscribed = (): number[] =>
    indices.filter((index) => fixture.presences(index).at(-1)?.hearsEntries === true);
  await until(() => subscribed().length === 4);
  const before = subscribed();
  for (const index of before) {
    const entry = { box: `entry-${index}`, dataCentre: 'north', address: `entry-${index}:80`, control: '' };
    fixture.sendMessage(index, {
      type: 'entry-list',
      whole: true,
      entries: [{ ...entry, leaving: false }],
      gone: [],
    });
  }
  const all = before.map((index) => `entry-${index}:80`);
  await until(() => fixture.lines.filter((line) => line.includes('"entry.live"')).length === all.length);
  expect(await listed()).toEqual([...all, fixture.address]);
  // The directory agents are spread over data centres, so an agent in another one replaces one of these.
  const other = indices.find((index) => !before.includes(index))!;
  fixture.setServer(other, { dataCentre: 'south' });
  await until(() => subscribed().includes(other) && subscribed().length === 4);
  const kept = before.filter((index) => subscribed().includes(index)).map((index) => `entry-${index}:80`);
  expect(kept).toHaveLength(3);
  expect(await listed()).toEqual([...kept, fixture.address]);
});
