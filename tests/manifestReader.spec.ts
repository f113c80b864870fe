/** Where a box reads the manifest of a version. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import type { Manifest } from '../src/protocol/manifest.js';
import { ManifestReader } from '../src/staging/manifestReader.js';
import { EventLog } from '../src/telemetry/eventLog.js';
import { SeededRandom } from '../src/utils/random.js';
import { FakeOrigin } from './fixtures/fakeOrigin.js';
import { MODEL } from './fixtures/stagingFixture.js';

const NEVER = new AbortController().signal;
const ROLLOUT = `${MODEL}@2`;

let peer: http.Server;
let peerPort = 0;
let manifest: Manifest;
let peerHasIt: boolean;
let origin: FakeOrigin;
let originAsked: number;

before(async () => {
  manifest = await new FakeOrigin().manifest('', MODEL, '2');
  peer = http.createServer((_request, response) => {
    response.writeHead(peerHasIt ? 200 : 404, { 'content-type': 'application/json' });
    response.end(JSON.stringify(peerHasIt ? manifest : {}));
  });
  await new Promise<void>((resolve) => peer.listen(0, '127.0.0.1', resolve));
  peerPort = (peer.address() as AddressInfo).port;
});

after(() => {
  peer.close();
  peer.closeAllConnections();
});

beforeEach(() => {
  peerHasIt = true;
  originAsked = 0;
  origin = new FakeOrigin();
  const read = origin.manifest.bind(origin);
  origin.manifest = async (customer, model, version) => {
    originAsked++;
    return await read(customer, model, version);
  };
});

function reader(box: string): ManifestReader {
  const member = {
    box: 'drawer',
    dataCentre: 'north',
    address: '127.0.0.1',
    httpPort: peerPort,
    controlPort: 1,
  };
  return new ManifestReader({
    origin: () => origin,
    peers: () => [member],
    downloaders: () => ['drawer'],
    box,
    token: 'token',
    random: new SeededRandom(1),
    log: new EventLog({ write: () => undefined }, 'off'),
  });
}

test('should ask the origin when the box draws', async () => {
  expect(await reader('drawer').read(MODEL, 2, ROLLOUT, NEVER)).toEqual(manifest);
  expect(originAsked).toEqual(1);
});

test('should ask a box that draws when it does not draw itself', async () => {
  expect(await reader('other').read(MODEL, 2, ROLLOUT, NEVER)).toEqual(manifest);
  expect(originAsked).toEqual(0);
});

test('should ask the origin in the end when no box that draws has it', async () => {
  peerHasIt = false;
  expect(await reader('other').read(MODEL, 2, ROLLOUT, NEVER)).toEqual(manifest);
  expect(originAsked).toEqual(1);
});

test('should ask another box while the origin is down', async () => {
  origin.down = true;
  expect(await reader('drawer').read(MODEL, 2, ROLLOUT, NEVER)).toEqual(manifest);
});
