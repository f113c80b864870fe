/** What a gateway tells the agents that it is connected to, and takes from them. */
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

/** Starts a gateway before so many engines, none of whose agents it loses while the machine is busy. */
async function startEngines(count: number): Promise<void> {
  const scripts = Array.from({ length: count }, () => answers({ status: 200 }));
  await fixture.startEngines(scripts, {}, { peerTimeoutMilliseconds: 5_000 });
}

test('should tell its agents which versions it has heard of', async () => {
  await startEngines(1);
  fixture.store.set('versions', { main: { model: 'model', version: 2 } });
  const heard = (): number[] | undefined =>
    fixture
      .presences(0)
      .at(-1)
      ?.heard?.map(({ version }) => version);
  await until(() => heard()?.includes(2) === true);
});

test('should announce itself anew when an agent tells of a version', async () => {
  await startEngines(1);
  // twice: what was still to be announced from the start may name the first, and nothing but its news the second
  for (const version of [2, 3]) {
    fixture.tellHeard(0, version, 100);
    await until(() => fixture.presences(0).at(-1)?.wanted[0]?.version === version);
  }
});

test('should probe the link of an agent once when it has connected', async () => {
  await startEngines(1);
  await until(() => fixture.presences(0).length > 0 && fixture.probes(0) > 0);
  expect(fixture.probes(0)).toEqual(1);
});

test('should go on probing the link of a box while its server holds an older version than the newest', async () => {
  await startEngines(2);
  fixture.setServer(0, { models: [{ name: 'model', version: 1 }] });
  fixture.setServer(1, { models: [{ name: 'model', version: 2 }] });
  fixture.tellHeard(0, 2, 100);
  await until(() => fixture.probes(0) > 3);
  expect(fixture.probes(1)).toBeLessThan(2);
});

async function named(): Promise<string[]> {
  const answer = await fetch(`http://${fixture.directory}/entries?dataCentre=north`);
  return ((await answer.json()) as { addresses: string[] }).addresses;
}

test('should not name what only an agent told that it no longer asks, though that is still connected', async () => {
  await startEngines(5);
  const indices = [...fixture.backends.keys()];
  const asked = (): number[] =>
    indices.filter((index) => fixture.presences(index).at(-1)?.hearsEntries === true);
  await until(() => asked().length === 4);
  const before = asked();
  for (const index of before) {
    const entry = { box: `entry-${index}`, dataCentre: 'north', address: `entry-${index}:80`, control: '' };
    fixture.tell(index, {
      type: 'entry-list',
      whole: true,
      entries: [{ ...entry, leaving: false }],
      gone: [],
    });
  }
  const all = before.map((index) => `entry-${index}:80`);
  await until(() => fixture.lines.filter((line) => line.includes('"entry.live"')).length === all.length);
  expect(await named()).toEqual([...all, fixture.address]);
  // agents are asked across data centres, so that the one of another takes the place of one of these
  const other = indices.find((index) => !before.includes(index))!;
  fixture.setServer(other, { dataCentre: 'south' });
  await until(() => asked().includes(other) && asked().length === 4);
  const kept = before.filter((index) => asked().includes(index)).map((index) => `entry-${index}:80`);
  expect(kept).toHaveLength(3);
  expect(await named()).toEqual([...kept, fixture.address]);
});
