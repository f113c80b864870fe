import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { wasNeverSent } from '../src/external/httpClient.js';
import { KeepAliveClient } from '../src/external/keepAliveClient.js';
import { freePort } from './fixtures/freePort.js';

let server: http.Server;
let client: KeepAliveClient;
let connections = 0;
let answer: http.RequestListener;

beforeEach(async () => {
  connections = 0;
  answer = (_request, response) => response.end('{"running":3}');
  server = http.createServer((request, response) => answer(request, response));
  server.on('connection', () => connections++);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  client = new KeepAliveClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 200);
});

afterEach(() => {
  client.close();
  server.closeAllConnections();
  server.close();
});

const REPORT = { step: 'test.get', method: 'GET', path: '/report', maximumBytes: 100_000 } as const;

async function failureOf(target: KeepAliveClient): Promise<Error | undefined> {
  try {
    await target.call(REPORT);
    return undefined;
  } catch (error) {
    return error as Error;
  }
}

test('should send all calls over one connection', async () => {
  for (let call = 0; call < 5; call++)
    expect(await client.call(REPORT)).toEqual({ status: 200, bytes: Buffer.from('{"running":3}') });
  expect(connections).toEqual(1);
});

test('should return an answer with any status', async () => {
  answer = (_request, response) => response.writeHead(503).end('busy');
  expect(await client.call(REPORT)).toEqual({ status: 503, bytes: Buffer.from('busy') });
});

test('should fail as never sent when nothing listens on the port', async () => {
  const unreachable = new KeepAliveClient(`127.0.0.1:${await freePort()}`, 200);
  const error = await failureOf(unreachable);
  expect(error?.message.startsWith('test.get')).toEqual(true);
  expect(wasNeverSent(error?.cause)).toEqual(true);
  unreachable.close();
});

test('should time out when the peer is silent, and reconnect for the next call', async () => {
  answer = () => undefined;
  const error = await failureOf(client);
  expect([error !== undefined, wasNeverSent(error?.cause)]).toEqual([true, false]);
  answer = (_request, response) => response.end('{}');
  expect((await client.call(REPORT)).status).toEqual(200);
});

test('should fail when the answer is cut, and reconnect for the next call', async () => {
  answer = (_request, response) => {
    response.writeHead(200, { 'content-length': 100 });
    response.write('{"run', () => response.destroy());
  };
  expect((await failureOf(client)) !== undefined).toEqual(true);
  answer = (_request, response) => response.end('{}');
  expect((await client.call(REPORT)).status).toEqual(200);
});

test('should send a body', async () => {
  answer = (request, response) => void request.pipe(response);
  const body = Buffer.alloc(50_000, 'chunk');
  const { bytes } = await client.call({
    step: 'test.put',
    method: 'PUT',
    path: '/place',
    body,
    maximumBytes: 100_000,
  });
  expect(bytes.equals(body)).toEqual(true);
});
