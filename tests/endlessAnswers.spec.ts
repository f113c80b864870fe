/** Servers, the origin and the store may send bytes without end; nobody may collect them, or wait for their end. */
import type { Socket } from 'node:net';
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import { PlatformOrigin, PlatformRunner } from '../platform/runner.js';
import { PlatformStore } from '../platform/store.js';
import type { Script } from '../standins/scriptedBackend.js';
import { answers, streamHead } from '../standins/scriptedBackend.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { RawServer } from './fixtures/rawServer.js';
import { routeFixture } from './fixtures/servingFixture.js';
import { until } from './fixtures/until.js';

const PART = 'x'.repeat(64 * 1024);
const JSON_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n';
const CHUNK = `${PART.length.toString(16)}\r\n${PART}\r\n`;
/** More than any limit, and what the system buffers on the way. */
const MAX_SENT_BYTES = 64 * 1024 * 1024;

/** The same for a single event. */
const MAX_EVENT_SENT_BYTES = 16 * 1024 * 1024;

const closing: { close(): void }[] = [];
let sentBytes = 0;

afterEach(() => {
  for (const item of closing.splice(0)) item.close();
});

/** Sends `part` again and again, as fast as it is read, until the connection is closed. */
function sendWithoutEnd(socket: Socket, part: string): void {
  sentBytes = 0;
  const sendMore = (): void => {
    if (socket.destroyed) return;
    sentBytes += part.length;
    if (socket.write(part)) setImmediate(sendMore);
    else socket.once('drain', sendMore);
  };
  sendMore();
}

/** Sends one byte of a body every 100 ms. */
function drip(socket: Socket): void {
  const timer = setInterval(() => socket.write('1\r\nx\r\n'), 100);
  socket.once('close', () => clearInterval(timer));
}

function sendBody(socket: Socket): void {
  sendWithoutEnd(socket, CHUNK);
}

/** Listens on a free port and answers with a head, and with what `send` sends after it; returns host:port. */
async function endlessServer(send: (socket: Socket) => void): Promise<string> {
  const server = new RawServer((socket) => {
    socket.write(JSON_HEAD);
    send(socket);
  });
  closing.push(server);
  return await server.listen();
}

/** How a request ends whose first server sends bytes without end, and whether its connection was closed. */
async function answerBeside(endless: Script): Promise<{ status: number; isClosed: boolean }> {
  const fixture = new GatewayFixture();
  closing.push({ close: () => fixture.stop() });
  await fixture.start([endless], {
    routes: [routeFixture({ kind: 'stream', resumable: true, attempts: 1 })],
  });
  const { status } = await fixture.request().catch(() => ({ status: 0 }));
  await until(() => fixture.backends[0].closed > 0);
  return { status, isClosed: sentBytes < MAX_SENT_BYTES };
}

test('should stop reading a report without end', async () => {
  const runner = new PlatformRunner(await endlessServer(sendBody));
  await expect(runner.status()).toBeRejectedWith(/runner\.report/);
  expect(sentBytes < MAX_SENT_BYTES).toEqual(true);
});

test('should stop reading a staged chunk without end', async () => {
  const runner = new PlatformRunner(await endlessServer(sendBody));
  await expect(runner.getChunk('model', 0)).toBeRejectedWith(/runner\.stage-get/);
  expect(sentBytes < MAX_SENT_BYTES).toEqual(true);
});

/** Guards against a body that is short but never ends. */
test('should wait for the end of a report only for a limited time', async () => {
  const runner = new PlatformRunner(await endlessServer(drip));
  await expect(runner.status()).toBeRejectedWith(/runner\.report/);
});

test('should stop reading an answer to an order without end', async () => {
  const runner = new PlatformRunner(await endlessServer(sendBody));
  expect(await runner.startVersion('model', 1, 0)).toEqual('unknown');
  expect(sentBytes < MAX_SENT_BYTES).toEqual(true);
});

test('should stop reading a manifest without end', async () => {
  const origin = new PlatformOrigin(await endlessServer(sendBody));
  await expect(origin.manifest('', 'model', '1')).toBeRejectedWith(/origin\.manifest/);
  expect(sentBytes < MAX_SENT_BYTES).toEqual(true);
});

test('should stop reading a list of the store without end', async () => {
  const store = new PlatformStore(await endlessServer(sendBody), () => undefined);
  await expect(store.list('servers', new AbortController().signal)).toBeRejectedWith(/store\.read/);
  expect(sentBytes < MAX_SENT_BYTES).toEqual(true);
});

test('should cut a stream whose event has no end', async () => {
  const { status, isClosed } = await answerBeside((request) => {
    request.socket.write(streamHead(request));
    sendWithoutEnd(request.socket, CHUNK);
  });
  expect([status, isClosed, sentBytes < MAX_EVENT_SENT_BYTES]).toEqual([200, true, true]);
});

test('should answer a request whose server sends a head without end', async () => {
  const { status, isClosed } = await answerBeside(({ socket }) => {
    socket.write('HTTP/1.1 200 OK\r\nX-Filler: ');
    sendWithoutEnd(socket, PART);
  });
  expect([status, isClosed]).toEqual([502, true]);
});

test('should answer a request whose server sends bytes without end that are no answer', async () => {
  const { status, isClosed } = await answerBeside(({ socket }) => sendWithoutEnd(socket, PART));
  expect([status, isClosed]).toEqual([502, true]);
});

test('should answer a request whose server sends interim answers without end', async () => {
  const { status, isClosed } = await answerBeside(({ socket }) =>
    sendWithoutEnd(socket, 'HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n'),
  );
  expect([status, isClosed]).toEqual([502, true]);
});

test('should answer a request after a server has sent bytes without end behind its answer', async () => {
  const fixture = new GatewayFixture();
  closing.push({ close: () => fixture.stop() });
  await fixture.start([
    (request) => {
      answers()(request);
      if (fixture.backends[0].opened === 1) sendWithoutEnd(request.socket, PART);
    },
  ]);
  expect((await fixture.request()).status).toEqual(200);
  await until(() => fixture.backends[0].closed > 0);
  expect((await fixture.request()).status).toEqual(200);
});
