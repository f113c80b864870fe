/**
 * A box that loses power does not close its connections, so they stay open at the origin and count towards its limit
 * of 48. Each box used to keep three connections open (two for chunks, one for manifests): nine boxes held 27. After
 * the second of three power losses the origin reset every new connection, so that no box could fetch a version any
 * more and requests for models failed from then on. Processes that are killed don't cause this, since the operating
 * system closes their connections. The failure was logged 376 times as:
 *
 *   manifest.failed  model m0 version 3  reason "origin.manifest: read ECONNRESET"
 */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { PlatformOrigin } from '../platform/runner.js';
import { PlatformOriginStandin } from '../standins/platformOriginStandin.js';
import { StallingProxy } from './fixtures/stallingProxy.js';

const SHAPE = { model: 'm0', chunks: 4, chunkBytes: 8_192 };
const BOXES = 9;
/** The connection limit of the platform's origin. */
const MAX_CONNECTIONS = 48;
/** Slow enough that pieces are still being sent when the power fails. */
const BYTES_PER_SECOND = 400_000;
const POWER_LOSSES = 4;

let standin: PlatformOriginStandin;
let address: string;
let proxies: StallingProxy[];

beforeEach(async () => {
  proxies = [];
  const link = { bytesPerSecond: BYTES_PER_SECOND, maximumConnections: MAX_CONNECTIONS };
  standin = new PlatformOriginStandin(SHAPE, () => 1, link);
  address = await standin.listen();
});

afterEach(() => {
  for (const proxy of proxies) proxy.close();
  standin.close();
});

/** A box's client of the origin, and the proxy that it connects through. */
interface Box {
  proxy: StallingProxy;
  origin: PlatformOrigin;
}

async function startBoxes(): Promise<Box[]> {
  return await Promise.all(
    Array.from({ length: BOXES }, async () => {
      const proxy = new StallingProxy(address);
      proxies.push(proxy);
      return { proxy, origin: new PlatformOrigin(await proxy.listen()) };
    }),
  );
}

async function beginPiece(origin: PlatformOrigin, piece: number): Promise<AsyncIterable<Buffer>> {
  const range = { customer: '', model: SHAPE.model, version: '2', length: SHAPE.chunkBytes };
  return await origin.read({ ...range, offset: piece * SHAPE.chunkBytes }, new AbortController().signal);
}

/** Reads the manifest and starts to read two pieces, as when two versions are fetched at the same time. */
async function fetchVersion({ origin }: Box): Promise<void> {
  await origin.manifest('', SHAPE.model, '2');
  await Promise.any([beginPiece(origin, 0), beginPiece(origin, 1)]);
}

test('should reach the origin after boxes have lost power four times while fetching pieces', async () => {
  for (let loss = 0; loss < POWER_LOSSES; loss++) {
    const boxes = await startBoxes();
    await Promise.all(boxes.map(async (box) => await fetchVersion(box)));
    for (const { proxy } of boxes) proxy.stall();
  }
  const boxes = await startBoxes();
  const manifests = await Promise.allSettled(
    boxes.map(async ({ origin }) => await origin.manifest('', SHAPE.model, '2')),
  );
  expect(manifests.filter(({ status }) => status === 'rejected').length).toEqual(0);
  expect(standin.resets).toEqual(0);
});

test('should use a single connection to the origin for concurrent requests', async () => {
  const boxes = await startBoxes();
  await Promise.all(boxes.map(async (box) => await fetchVersion(box)));
  expect(standin.connections).toEqual(BOXES);
});
