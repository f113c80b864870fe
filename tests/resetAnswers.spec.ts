/**
 * Answers with neither a length nor chunks, whose connection is reset right behind a part of the body: no reader may
 * take that part for the whole answer.
 */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import { PlatformOrigin, PlatformRunner } from '../platform/runner.js';
import { PlatformStore } from '../platform/store.js';
import { HttpOrigin } from '../src/external/origin.js';
import type { Member } from '../src/protocol/rolloutMessages.js';
import { AgentClient } from '../src/requests/agentClient.js';
import type { Attempt } from '../src/requests/agentClient.js';
import { PeerChunkClient } from '../src/weights/peerChunkClient.js';
import type { Route } from '../src/serving/servingConfiguration.js';
import type { ArrivedRequest, Script } from '../standins/scriptedBackend.js';
import { answerBytes, events, unframedStreamHead } from '../standins/scriptedBackend.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { RawServer, sendAndReset } from './fixtures/rawServer.js';
import { routeFixture } from './fixtures/servingFixture.js';
import { until } from './fixtures/until.js';

const RANGE = { customer: 'c', model: 'm', version: '1', offset: 0, length: 4 };
const NEVER = new AbortController().signal;
/** More than the buffers of a connection hold. */
const UPLOAD = 'x'.repeat(16 * 1024 * 1024);

const closing: { close(): void }[] = [];

afterEach(() => {
  for (const item of closing.splice(0)) item.close();
});

/** Starts a server that sends `body` behind a head without a length, and resets the connection. Returns host:port. */
async function resettingServer(body: string, { status = 200, headers = '' } = {}): Promise<string> {
  const server = new RawServer(sendAndReset(`HTTP/1.1 ${status} Status\r\n${headers}\r\n${body}`));
  closing.push(server);
  return await server.listen();
}

async function collect(body: AsyncIterable<Buffer>): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of body) parts.push(part);
  return Buffer.concat(parts).toString();
}

/** Starts a gateway whose server sends a part of an answer and resets the connection. */
async function resettingGateway(
  part: (request: ArrivedRequest) => string,
  kind: Route['kind'] = 'once',
): Promise<GatewayFixture> {
  const fixture = new GatewayFixture();
  closing.push({ close: () => fixture.stop() });
  const script: Script = (request) => sendAndReset(part(request))(request.socket);
  await fixture.start([script], { routes: [routeFixture({ kind })] });
  return fixture;
}

function partOfAnswer(request: ArrivedRequest): string {
  return answerBytes(request, { headers: { connection: 'close' }, body: 'part' });
}

test('should not answer a caller with a part of an answer', async () => {
  const fixture = await resettingGateway(partOfAnswer);
  expect((await fixture.request({ method: 'POST' })).status).toEqual(502);
});

test('should not complete a stream that is reset between two events', async () => {
  const fixture = await resettingGateway((request) => unframedStreamHead(request) + events(1, 2), 'stream');
  const { body, whole } = await fixture.request({ method: 'POST' });
  expect([body, whole]).toEqual([events(1, 2), false]);
});

/** Guards against an early answer that counts as complete because its connection is reset during the upload. */
test('should not answer an upload with a part of an answer', async () => {
  const fixture = new GatewayFixture();
  const head = 'HTTP/1.1 200 OK\r\nlarklatch-request-id: request-1\r\nlarklatch-seal: s\r\n\r\n';
  const server = new RawServer((socket) => {
    socket.pause();
    sendAndReset(`${head}part`)(socket);
  });
  closing.push(server, { close: () => fixture.stop() });
  const limits = { bodyBytes: 2 * UPLOAD.length, headMilliseconds: 10_000, idleMilliseconds: 10_000 };
  await fixture.start([() => undefined], { routes: [routeFixture({ kind: 'once' })], limits });
  fixture.setServer(1, { ...fixture.record(0), id: 'server-1', address: await server.listen() });
  fixture.setServer(0, undefined);
  await until(() => fixture.lines.filter((line) => line.includes('server.found')).length === 2);
  const { status } = await fixture.request({ method: 'POST', body: UPLOAD });
  expect(status).toEqual(502);
});

test('should not take a part of a report', async () => {
  const runner = new PlatformRunner(await resettingServer('{}'));
  await expect(runner.status()).toBeRejectedWith(/connection was reset/);
});

test('should not take a part of a staged chunk', async () => {
  const runner = new PlatformRunner(await resettingServer('part'));
  await expect(runner.getChunk('m', 0)).toBeRejectedWith(/connection was reset/);
});

test('should not take a part of an answer to an order', async () => {
  const runner = new PlatformRunner(await resettingServer('{}'));
  expect(await runner.startVersion('m', 1, 0)).toEqual('unknown');
});

test('should not take a part of a list of the store', async () => {
  const store = new PlatformStore(await resettingServer('{"entries":[],"at":1}'), () => undefined);
  await expect(store.list('servers', NEVER)).toBeRejectedWith(/connection was reset/);
});

test('should not take a part of a manifest', async () => {
  const origin = new PlatformOrigin(await resettingServer('{"chunk_bytes":1,"digests":[]}'));
  await expect(origin.manifest('c', 'm', '1')).toBeRejectedWith(/connection was reset/);
});

test('should not take a part of a piece of the origin', async () => {
  const origin = new PlatformOrigin(await resettingServer('part'));
  await expect(origin.read(RANGE, NEVER).then(collect)).toBeRejectedWith(/connection was reset/);
});

test('should not take a part of a range of the origin', async () => {
  const origin = new HttpOrigin(`http://${await resettingServer('part', { status: 206 })}`);
  await expect(origin.read(RANGE, NEVER).then(collect)).toBeRejectedWith(/connection was reset/);
});

test("should not take a part of a peer's chunk", async () => {
  const [address, port] = (await resettingServer('part')).split(':');
  const member = { box: 'b', address, httpPort: Number(port) } as Member;
  const read = new PeerChunkClient('t').open(member, 'r', 0, NEVER).then(({ body }) => collect(body));
  await expect(read).toBeRejectedWith(/connection was reset/);
});

test("should not take a part of an agent's answer", async () => {
  const headers = 'larklatch-request-id: r\r\nlarklatch-customer: c\r\nlarklatch-outcome: answered\r\n';
  const [address, port] = (await resettingServer('part', { headers })).split(':');
  const name = { customer: 'c', configuration: 'd' };
  const request = { id: 'r', name, method: 'GET', path: '/', body: Buffer.alloc(0), contentType: '' };
  const backend = { address, httpPort: Number(port), lost: NEVER };
  const attempt = { request, backend, signal: NEVER } as unknown as Attempt;
  const result = await new AgentClient('t', 1_000).send(attempt);
  if (result.kind === 'answer') await expect(collect(result.body)).toBeRejectedWith(/connection was reset/);
  else expect(result.reason).toEqual('backend-lost');
});
