/** Ends of answers over TLS: the client must not take the end of a connection for the end of an answer. */
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { setImmediate as turn } from 'node:timers/promises';
import tls from 'node:tls';
import type { TLSSocket } from 'node:tls';
import { expect } from 'earl';
import type { Dispatcher } from 'undici';
import { Client } from 'undici';
import { answerConnector } from '../src/utils/answerConnector.js';
import { until } from './fixtures/until.js';

/** A key in place of certificates. */
const KEY = Buffer.from('0123456789abcdef');
const PROTOCOL = { ciphers: 'PSK-AES128-GCM-SHA256', maxVersion: 'TLSv1.2' } as const;
const CLIENT = {
  ...PROTOCOL,
  pskCallback: () => ({ psk: KEY, identity: 'client' }),
  checkServerIdentity: () => undefined,
};
/** Enough for an end that has been sent to be read. */
const TURNS = 50;
const LENGTH = 'connection: close\r\ncontent-length: 4\r\n';
const CHUNKS = 'connection: close\r\ntransfer-encoding: chunked\r\n';

type End = (secure: TLSSocket, socket: Socket) => void;

const inOrder: End = (secure) => void secure.end();
const withoutNotice: End = (_secure, socket) => void socket.end();
const byReset: End = (_secure, socket) => void socket.resetAndDestroy();

/** Sends an answer, and ends it once the client has its first bytes. Returns what the client reports. */
async function reports(head: string, body: string, end: End, isPaused = false): Promise<string[]> {
  const reported: string[] = [];
  let hasEnded = false;
  const server = tls.createServer({ ...PROTOCOL, pskCallback: () => KEY }, (secure) => {
    secure.on('error', () => undefined);
    secure.once('data', () => {
      secure.write(`HTTP/1.1 200 OK\r\n${head}\r\n${body}`);
      void until(() => reported.length > 0).then(() => end(secure, socket));
    });
  });
  let socket!: Socket;
  server.once('connection', (opened: Socket) => {
    socket = opened.on('error', () => undefined).once('finish', () => (hasEnded = true));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new Client(`https://127.0.0.1:${port}`, { connect: answerConnector(1_000, CLIENT) });
  let controller: Dispatcher.DispatchController | undefined;
  client.dispatch(
    { method: 'GET', path: '/' },
    {
      onRequestStart: (started) => (controller = started),
      onResponseData: (_controller, bytes) => {
        if (bytes.length > 0) reported.push(bytes.toString());
        if (isPaused && bytes.length > 0) controller!.pause();
      },
      onResponseEnd: () => void reported.push('end'),
      onResponseError: () => void reported.push('failed'),
    },
  );
  await until(() => reported.length > 1 || (isPaused && hasEnded));
  for (let count = 0; count < TURNS; count++) await turn();
  controller!.resume();
  await until(() => reported.length > 1);
  server.close();
  void client.destroy();
  return reported;
}

for (const [how, end] of [
  ['in order', inOrder],
  ['without notice', withoutNotice],
  ['by a reset', byReset],
] as const) {
  test(`should not complete an answer without length over TLS that ends ${how}`, async () => {
    expect(await reports('', 'part', end)).toEqual(['part', 'failed']);
  });

  test(`should not complete chunks over TLS that end ${how}`, async () => {
    expect(await reports(CHUNKS, '4\r\npart\r\n', end)).toEqual(['part', 'failed']);
  });

  test(`should complete an answer with a length over TLS that ends ${how}`, async () => {
    expect(await reports(LENGTH, 'part', end)).toEqual(['part', 'end']);
  });
}

/** Guards against an assertion of the HTTP client, which would end the process. */
test('should survive the end of an answer over TLS that is read late', async () => {
  expect(await reports('', 'part', withoutNotice, true)).toEqual(['part', 'failed']);
});
