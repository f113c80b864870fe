/** The adapter's clients of the runner and of the origin of weights, tested against stand-ins. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { PlatformOrigin, PlatformRunner } from '../platform/runner.js';
import type { LocalBackendStatus } from '../src/staging/localBackend.js';
import { sha256Hex } from '../src/utils/hash.js';
import { pause } from '../src/utils/timers.js';
import { PlatformOriginStandin } from '../standins/platformOriginStandin.js';
import { PlatformRunnerStandin } from '../standins/platformRunnerStandin.js';
import { versionChunk } from '../standins/weightsFixture.js';
import { freePort } from './fixtures/freePort.js';
import { until } from './fixtures/until.js';

const SHAPE = { model: 'm0', chunks: 4, chunkBytes: 1_000 };

let standin: PlatformRunnerStandin;
let runner: PlatformRunner;
let originStandin: PlatformOriginStandin;
let origin: PlatformOrigin;
const incompleteVersions: number[] = [];

beforeEach(async () => {
  incompleteVersions.length = 0;
  standin = new PlatformRunnerStandin({
    id: 'i-1',
    service: 'chat',
    slots: 2,
    weights: SHAPE,
    version: 1,
    onExecution: () => undefined,
    onIncompleteVersion: (_runner, version) => incompleteVersions.push(version),
    fraction: () => 0,
  });
  const port = await freePort();
  await standin.listen('127.0.0.1', port);
  runner = new PlatformRunner(`127.0.0.1:${port}`);
  originStandin = new PlatformOriginStandin(SHAPE, () => 0);
  origin = new PlatformOrigin(await originStandin.listen());
});

afterEach(() => {
  standin.close();
  originStandin.close();
});

async function stageAll(version: number): Promise<void> {
  for (let chunk = 0; chunk < SHAPE.chunks; chunk++)
    await runner.putChunk(SHAPE.model, chunk, versionChunk(SHAPE, version, chunk));
}

async function readPiece(version: number, chunk: number): Promise<Buffer> {
  const range = { customer: '', model: SHAPE.model, version: String(version) };
  const { signal } = new AbortController();
  const offset = chunk * SHAPE.chunkBytes;
  const pieces: Buffer[] = [];
  for await (const bytes of await origin.read({ ...range, offset, length: SHAPE.chunkBytes }, signal))
    pieces.push(bytes);
  return Buffer.concat(pieces);
}

test('should read the report of a runner', async () => {
  const { startedAt, ...status } = await runner.status();
  expect(Number.isInteger(startedAt) && startedAt > 0).toEqual(true);
  expect(status).toEqual({
    versions: new Map([[SHAPE.model, 1]]),
    busy: false,
    revision: 0,
    running: 0,
    queued: 0,
    layers: { first: 0, end: 4 },
  });
});

test('should stage chunks and read them back', async () => {
  const bytes = versionChunk(SHAPE, 2, 3);
  await runner.putChunk(SHAPE.model, 3, bytes);
  expect(await runner.stagedChunks(SHAPE.model)).toEqual([3]);
  expect(await runner.getChunk(SHAPE.model, 3)).toEqual(bytes);
  expect(await runner.getChunk(SHAPE.model, 0)).toEqual(undefined);
});

test('should order a complete version and see it served', async () => {
  await stageAll(2);
  expect(await runner.startVersion(SHAPE.model, 2, 0)).toEqual('begun');
  await until(() => standin.version === 2);
  expect((await runner.status()).revision).toEqual(1);
  expect(await runner.startVersion(SHAPE.model, 2, 1)).toEqual('done');
  expect(incompleteVersions).toEqual([]);
});

async function idleStatus(): Promise<LocalBackendStatus> {
  for (;;) {
    const status = await runner.status();
    if (!status.busy) return status;
    await pause(5);
  }
}

test('should release layers and load them again', async () => {
  await stageAll(1);
  expect(await runner.startVersion(SHAPE.model, 1, 0, { first: 0, end: 3 })).toEqual('begun');
  expect((await idleStatus()).layers).toEqual({ first: 0, end: 3 });
  expect(await runner.startVersion(SHAPE.model, 1, 1, { first: 0, end: 4 })).toEqual('begun');
  expect((await idleStatus()).layers).toEqual({ first: 0, end: 4 });
});

test('should report an order with another revision as refused', async () => {
  await stageAll(2);
  expect(await runner.startVersion(SHAPE.model, 2, 7)).toEqual('refused');
  expect(standin.version).toEqual(1);
});

test('should report an order whose answer is lost as unknown', async () => {
  await stageAll(2);
  standin.faults = { lostOrderAnswers: true };
  expect(await runner.startVersion(SHAPE.model, 2, 0)).toEqual('unknown');
  await until(() => standin.version === 2);
});

test('should have a shorter timeout for orders than for chunks', async () => {
  standin.faults = { silent: true };
  const order = runner.startVersion(SHAPE.model, 2, 0);
  const chunk = runner.putChunk(SHAPE.model, 0, Buffer.alloc(1)).catch(() => 'no answer');
  expect(await Promise.race([order, chunk])).toEqual('unknown');
  await chunk;
});

/** Guards against a report that is taken for the one before it, whose reading is reused if the bytes are the same. */
test('should read a report that differs from the last, and fail on an invalid one after it', async () => {
  const report = { models: [], seq_no: 1, queued: 0, active: 0 };
  const bodies = [report, report, { ...report, active: 2 }, { ...report, active: '2' }, report];
  const server = http.createServer((_request, response) => response.end(JSON.stringify(bodies.shift())));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new PlatformRunner(`127.0.0.1:${port}`);
  for (const running of [0, 0, 2]) expect((await client.status()).running).toEqual(running);
  await expect(client.status()).toBeRejectedWith(/runner\.report/);
  expect((await client.status()).running).toEqual(0);
  server.close();
  server.closeAllConnections();
});

test('should fail with the name of the step if the report is invalid', async () => {
  const server = http.createServer((_request, response) => response.writeHead(200).end('<html>'));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await expect(new PlatformRunner(`127.0.0.1:${port}`).status()).toBeRejectedWith(/runner\.report/);
  server.close();
  server.closeAllConnections();
});

test('should fail with the name of the step if the runner is gone', async () => {
  standin.close();
  await expect(runner.status()).toBeRejectedWith(/runner\.report/);
  await expect(runner.putChunk(SHAPE.model, 0, Buffer.alloc(1))).toBeRejectedWith(/runner\.stage-put/);
  await expect(runner.getChunk(SHAPE.model, 0)).toBeRejectedWith(/runner\.stage-get/);
});

test('should read digests and pieces from the origin', async () => {
  const manifest = await origin.manifest('', SHAPE.model, '3');
  expect(manifest.chunks.map(({ size }) => size)).toEqual([1_000, 1_000, 1_000, 1_000]);
  for (const chunk of [0, 3])
    expect(sha256Hex(await readPiece(3, chunk))).toEqual(manifest.chunks[chunk].digest);
});

for (const status of [404, 410, 429, 503]) {
  test(`should fail with the name of the step if the origin answers ${status}`, async () => {
    originStandin.faults = { status };
    await expect(origin.manifest('', SHAPE.model, '3')).toBeRejectedWith(/origin\.manifest/);
    await expect(readPiece(3, 0)).toBeRejectedWith(/origin\.read/);
  });
}

test('should return corrupt bytes, which the caller detects by the digest', async () => {
  originStandin.faults = { corruptShare: 1 };
  const manifest = await origin.manifest('', SHAPE.model, '3');
  expect(sha256Hex(await readPiece(3, 0)) === manifest.chunks[0].digest).toEqual(false);
});

test('should fail if the connection is closed within a piece', async () => {
  originStandin.faults = { truncatedShare: 1 };
  await expect(readPiece(3, 0)).toBeRejected();
});
