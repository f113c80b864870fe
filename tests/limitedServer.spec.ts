/** Clients of one connection that send ahead, or stop short, and what their requests take. */
import type http from 'node:http';
import net from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import { ClientLimits } from '../src/limits/clientLimits.js';
import { LimitedServer } from '../src/limits/limitedServer.js';
import type { LimitedListener } from '../src/limits/limitedServer.js';
import type { MemoryBudget, MemoryShare } from '../src/limits/memoryBudget.js';
import type { BodyError } from '../src/limits/requestBody.js';
import { readBody } from '../src/limits/requestBody.js';
import { quietLog } from './fixtures/quietLog.js';
import { until } from './fixtures/until.js';

/** The largest share that counts as small. */
const MAX_SMALL_BYTES = 64 * 1024;
/** Parts of 64 KiB, more in all than connections hold on the way. */
const BODY_PARTS = 400;
const REQUEST = 'GET /x HTTP/1.1\r\nHost: h\r\n\r\n';

let server: LimitedServer;
let socket: Socket;
let received = '';
let memory: MemoryBudget;

afterEach(() => {
  socket.destroy();
  server.close();
  server.http.closeAllConnections();
});

/** Starts a server and connects to it. */
async function connect(listener: LimitedListener): Promise<void> {
  const limits = new ClientLimits({ clientMegabytes: 8, clientConnections: 16 }, { log: quietLog() });
  memory = limits.memory;
  server = new LimitedServer({ limits }, listener);
  const port = await server.listen('127.0.0.1', 0);
  received = '';
  socket = net.connect(port, '127.0.0.1');
  socket.on('data', (bytes) => (received += bytes.toString()));
  socket.on('error', () => undefined);
}

/** Reads a body; returns its length, or why it could not be read. */
async function bodyLength(request: http.IncomingMessage, share: MemoryShare): Promise<string> {
  const length = readBody(request, { bytes: 1_000_000 }, share).then((body) => String(body.length));
  return await length.catch((error: BodyError) => error.problem);
}

test('should answer all requests that are sent ahead, in order', async () => {
  let count = 0;
  await connect((_request, response) => void setImmediate(() => response.end(`<${count++}>`)));
  socket.write(REQUEST.repeat(5_000));
  await until(() => received.includes('<4999>'));
  const answers = [...received.matchAll(/<(\d+)>/g)].map(([, number]) => Number(number));
  expect(answers).toEqual(answers.map((_number, index) => index));
});

test('should handle few of the requests that are sent ahead at once', async () => {
  const open: http.ServerResponse[] = [];
  await connect((_request, response) => void open.push(response));
  socket.write(REQUEST.repeat(5_000));
  await until(() => open.length > 0 && socket.bytesWritten === 5_000 * REQUEST.length);
  open.shift()!.end();
  await until(() => received.length > 0);
  expect(open.length < 10).toEqual(true);
});

/** Guards against memory that stays counted for requests whose turn never came. */
test('should give back the memory of requests sent ahead when the connection closes', async () => {
  let closed = 0;
  await connect((_request, response) => void response.once('close', () => closed++));
  socket.write(REQUEST.repeat(100));
  await until(() => memory.bytes > 100_000);
  socket.destroy();
  await until(() => memory.bytes === 0);
  expect(closed > 0).toEqual(true);
});

test('should read a body in parts of one byte', async () => {
  await connect(
    (request, response, share) => void bodyLength(request, share).then((length) => response.end(length)),
  );
  socket.write(
    `POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\na\r\n'.repeat(20_000)}0\r\n\r\n`,
  );
  await until(() => received.includes('\r\n\r\n20000'));
});

test('should take back the memory of a body that stops short when others need it', async () => {
  const lengths: string[] = [];
  await connect((request, _response, share) => {
    void bodyLength(request, share).then((length) => lengths.push(length));
  });
  socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n${'a'.repeat(890_000)}`);
  await until(() => memory.bytes > 800_000);
  for (let count = 0; count < 7 * 16 + 2; count++) memory.share().take(MAX_SMALL_BYTES);
  await until(() => lengths.length > 0);
  expect(lengths).toEqual(['no-memory']);
});

/** Guards against bodies that pile up, uncounted, in a request whose body nobody reads. */
test('should stop reading a body that the handler does not read', async () => {
  await connect(() => undefined);
  const part = 'a'.repeat(64 * 1024);
  socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY_PARTS * part.length}\r\n\r\n`);
  for (let count = 0; count < BODY_PARTS; count++) socket.write(part);
  let sent = -1;
  await until(() => {
    const isStill = sent === socket.bytesWritten - socket.writableLength;
    sent = socket.bytesWritten - socket.writableLength;
    return isStill;
  });
  const parsed = server.connections.reduce((sum, { receivedBytes }) => sum + receivedBytes, 0);
  expect(parsed < 1024 * 1024).toEqual(true);
});

/** Guards against an assertion of the HTTP server, which would end the process, while its answers are not taken. */
test('should answer requests with unknown expectations in order', async () => {
  await connect((_request, response) => void response.end());
  socket.write('GET / HTTP/1.1\r\nHost: h\r\nExpect: wonders\r\n\r\n'.repeat(5_000));
  await until(() => received.split('HTTP/1.1 417').length === 5_001);
});
