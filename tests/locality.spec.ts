/** Home regions and evacuated data centres at a gateway, with servers in two regions. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import type { KindListing } from '../src/records/watchableStore.js';
import type { ServingConfiguration } from '../src/serving/servingConfiguration.js';
import { answers, chunkOf, events, streamHead } from '../standins/scriptedBackend.js';
import type { Script } from '../standins/scriptedBackend.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { ScriptedStore } from './fixtures/scriptedStore.js';
import { routeFixture, servingConfiguration } from './fixtures/servingFixture.js';
import { until } from './fixtures/until.js';

const SETTINGS = { regions: { north: 'r-north', south: 'r-south' }, evacuateMilliseconds: 5_000 };
const HOME = { routes: [routeFixture({ homeRegions: ['r-south'] })] };
const HOME_STREAM = { kind: 'stream', resumable: true, homeRegions: ['r-south'] } as const;

function streamAtHome(timeoutMilliseconds: number): Partial<ServingConfiguration> {
  return { routes: [routeFixture({ ...HOME_STREAM, timeoutMilliseconds })] };
}

const rejects = answers({ status: 503, headers: { 'larklatch-not-run': '1' }, seal: null });
let fixture: GatewayFixture;

/** A store whose list of evacuations does not arrive until it is released. */
class HeldStore extends ScriptedStore {
  release: () => void = () => undefined;
  private readonly _released = new Promise<void>((resolve) => (this.release = resolve));

  override async list(kind: string): Promise<KindListing> {
    if (kind === 'evacuations') await this._released;
    return await super.list(kind);
  }
}

beforeEach(() => {
  fixture = new GatewayFixture();
  fixture.dataCentres = ['north', 'south'];
});

afterEach(() => fixture.stop());

function arrived(): number[] {
  return fixture.backends.map((backend) => backend.arrived.length);
}

async function evacuate(...names: string[]): Promise<void> {
  const count = (): number => fixture.lines.filter((line) => line.includes('"step":"evacuation.')).length;
  const before = count();
  fixture.store.set('evacuations', Object.fromEntries(names.map((name) => [name, {}])));
  await until(() => count() > before);
}

/** The status of the directory: 200 if it names this entry, which is in the region `r-north`. */
async function resolve(query: string): Promise<number> {
  return (await fetch(`http://${fixture.directory}/entries?${query}`)).status;
}

/** Guards against requests on servers outside the home regions: 159 a day before home regions were supported. */
for (const [what, atHome, status] of [
  ['servers there only', answers(), 200],
  ['no other server as a retry', rejects, 503],
] as const) {
  test(`should send requests with home regions to ${what}`, async () => {
    await fixture.start([answers(), atHome], HOME, SETTINGS);
    for (let request = 0; request < 8; request++) expect((await fixture.request()).status).toEqual(status);
    expect(arrived()).toEqual([0, 8]);
  });
}

test('should reject a request at once when no server of its home regions is left', async () => {
  await fixture.start([answers(), answers()], HOME, SETTINGS);
  fixture.setServer(1, undefined);
  await until(() => fixture.lines.some((line) => line.includes('server.gone')));
  const { status, headers, body } = await fixture.request();
  expect([status, JSON.parse(body)]).toEqual([503, { error: 'no permitted server' }]);
  expect(Number(headers['retry-after'])).toBeGreaterThan(0);
  const line = fixture.lines.find((text) => text.includes('request.refused'))!;
  expect(line).toInclude('"homeRegions":"r-south"');
  expect(arrived()).toEqual([0, 0]);
});

test('should apply the home regions of a customer, and those of a route besides', async () => {
  const customers = [{ name: 'one', keys: ['key-one'], priority: 1, homeRegions: ['r-south'] }];
  const other = routeFixture({ name: 'other', pathPrefix: '/b/', homeRegions: ['r-north'] });
  await fixture.start([answers(), answers()], { customers, routes: [routeFixture(), other] }, SETTINGS);
  expect((await fixture.request()).status).toEqual(200);
  expect((await fixture.request({ path: '/b/x' })).status).toEqual(503);
  expect(arrived()).toEqual([0, 1]);
});

test('should use no server of an evacuated data centre until the evacuation ends, also while the store is lost', async () => {
  await fixture.start([answers(), answers()], {}, SETTINGS);
  await evacuate('south', 'nowhere');
  fixture.store.lost = true;
  await until(() => fixture.lines.some((line) => line.includes('store.lost')));
  for (let request = 0; request < 8; request++) await fixture.request();
  expect(arrived()).toEqual([8, 0]);
  fixture.store.lost = false;
  await evacuate('north', 'south');
  expect((await fixture.request()).status).toEqual(503);
  await evacuate('north');
  expect((await fixture.request()).status).toEqual(200);
  expect(arrived()).toEqual([8, 1]);
});

/** Guards against ending a request that runs in a data centre when its evacuation begins. */
test('should let a request finish in a data centre that is evacuated meanwhile', async () => {
  let finish = (): void => undefined;
  const held: Script = (request) => void (finish = () => answers()(request));
  fixture.dataCentres = ['south'];
  await fixture.start([held], {}, SETTINGS);
  const answer = fixture.request();
  await until(() => fixture.arrivals === 1);
  await evacuate('south');
  finish();
  expect((await answer).status).toEqual(200);
});

test('should cut a begun stream rather than resume it outside of its home regions', async () => {
  const disconnects: Script = (request) => {
    request.socket.write(streamHead(request) + chunkOf(events(1, 2)));
    request.socket.end();
  };
  await fixture.start([answers(), disconnects], streamAtHome(400), SETTINGS);
  const { body, whole } = await fixture.request();
  expect([body, whole, arrived()[0]]).toEqual([events(1, 2), false, 0]);
});

test('should hand a stream over to a server of its home regions only', async () => {
  let sent = false;
  const holds: Script = (request) => {
    if (!sent) request.socket.write(streamHead(request) + chunkOf(events(1)));
    sent = true;
  };
  await fixture.startEngines([holds, holds], streamAtHome(2_000), SETTINGS);
  const answer = fixture.request();
  await until(() => sent);
  fixture.sendStatus(1, { state: 'switching' });
  await until(() => fixture.lines.some((line) => line.includes('request.not-handed-over')));
  await answer;
  expect(arrived()).toEqual([0, 1]);
});

test('should name only entries in the region of the caller or in a home region', async () => {
  await fixture.start([answers()], HOME, SETTINGS);
  expect(await resolve('host=host.example&region=r-north')).toEqual(200);
  expect(await resolve('host=host.example&dataCentre=north')).toEqual(200);
  expect(await resolve('host=HOST.example:80&region=r-south')).toEqual(503);
  expect(await resolve('host=other.example&region=r-south')).toEqual(200);
  fixture.store.change('configuration', 'main', servingConfiguration({ version: 2 }));
  await until(() => fixture.lines.some((line) => line.includes('"version":2')));
  expect(await resolve('host=host.example&region=r-south')).toEqual(200);
});

test('should accept requests only once it has the list of evacuations', async () => {
  const store = new HeldStore();
  fixture.store = store;
  const started = fixture.start([answers()], {}, SETTINGS);
  await until(() => fixture.lines.some((line) => line.includes('configuration.applied')));
  expect((await fetch(`http://${fixture.directory}/ready`)).status).toEqual(503);
  expect(JSON.parse((await fixture.request()).body)).toEqual({ error: 'no list of evacuations yet' });
  store.release();
  await started;
  expect((await fetch(`http://${fixture.directory}/ready`)).status).toEqual(200);
  expect((await fixture.request()).status).toEqual(200);
});
