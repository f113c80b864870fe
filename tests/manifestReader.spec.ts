/** Sources from which a box reads the manifest of a version. */
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
let peerHasManifest: boolean;
let origin: FakeOrigin;
let originReads: number;

before(async () => {
  manifest = await new FakeOrigin().manifest('', MODEL, '2');
  peer = http.createServer((_request, response) => {
    response.writeHead(peerHasManifest ? 200 : 404, { 'content-type': 'application/json' });
    response.end(JSON.stringify(peerHasManifest ? manifest : {}));
  });
  await new Promise<void>((resolve) => peer.listen(0, '127.0.0.1', resolve));
  peerPort = (peer.address() as AddressInfo).port;
});

after(() => {
  peer.close();
  peer.closeAllConnections();
});

beforeEach(() => {
  peerHasManifest = true;
  originReads = 0;
  origin = new FakeOrigin();
  const read = origin.manifest.bind(origin);
  origin.manifest = async (customer, model, version) => {
    originReads++;
    return await read(customer, model, version);
  };
});

function reader(box: string): ManifestReader {
  const member = {
    box: 'downloader',
    dataCentre: 'north',
    address: '127.0.0.1',
    httpPort: peerPort,
    controlPort: 1,
  };
  return new ManifestReader({
    origin: () => origin,
    peers: () => [member],
    originFetchers: () => ['downloader'],
    box,
    token: 'token',
    random: new SeededRandom(1),
    log: new EventLog({ write: () => undefined }, 'off'),
  });
}

test('should ask the origin if the box is a downloader', async () => {
  expect(await reader('downloader').read(MODEL, 2, ROLLOUT, NEVER)).toEqual(manifest);
  expect(originReads).toEqual(1);
});

test('should ask a downloader if the box is none itself', async () => {
  expect(await reader('other').read(MODEL, 2, ROLLOUT, NEVER)).toEqual(manifest);
  expect(originReads).toEqual(0);
});

test('should ask the origin in the end if no downloader has the manifest', async () => {
  peerHasManifest = false;
  expect(await reader('other').read(MODEL, 2, ROLLOUT, NEVER)).toEqual(manifest);
  expect(originReads).toEqual(1);
});

test('should ask another box while the origin is down', async () => {
  origin.down = true;
  expect(await reader('downloader').read(MODEL, 2, ROLLOUT, NEVER)).toEqual(manifest);
});
