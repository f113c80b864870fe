/**
 * Answers whose connection ends while reading is paused, as it is for slow callers: the HTTP client must not fail with an
 * assertion, which would end the process and all that it serves.
 */
import { test } from 'node:test';
import { setImmediate as turn } from 'node:timers/promises';
import { expect } from 'earl';
import type { Dispatcher } from 'undici';
import { Client } from 'undici';
import { answerConnector } from '../src/utils/answerConnector.js';
import type { RawScript } from './fixtures/rawServer.js';
import { RawServer } from './fixtures/rawServer.js';
import { until } from './fixtures/until.js';

/** Enough for an end that has arrived to be confirmed. */
const TURNS = 50;

/** Pauses at the first bytes, reads on after the connection has ended, and returns what the client reports. */
async function readLate(head: string, body: string): Promise<string[]> {
  let hasEnded = false;
  const script: RawScript = (socket) =>
    void socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n${body}`, () => (hasEnded = true));
  const server = new RawServer(script);
  const client = new Client(`http://${await server.listen()}`, { connect: answerConnector() });
  const reported: string[] = [];
  let controller: Dispatcher.DispatchController | undefined;
  client.dispatch(
    { method: 'GET', path: '/' },
    {
      onRequestStart: (started) => (controller = started),
      onResponseData: (_controller, bytes) => {
        if (bytes.length === 0 || reported.length > 0) return;
        reported.push(bytes.toString());
        controller!.pause();
      },
      onResponseEnd: () => void reported.push('end'),
      onResponseError: () => void reported.push('failed'),
    },
  );
  await until(() => hasEnded && reported.length > 0);
  for (let count = 0; count < TURNS; count++) await turn();
  controller!.resume();
  await until(() => reported.length > 1);
  server.close();
  void client.destroy();
  return reported;
}

const CLOSE = 'connection: close\r\n';

for (const [form, head, body, end] of [
  ['a whole answer', `${CLOSE}content-length: 4\r\n`, 'part', 'end'],
  ['a part of an answer', `${CLOSE}content-length: 5\r\n`, 'part', 'failed'],
  ['a part of a chunk', `${CLOSE}transfer-encoding: chunked\r\n`, '4\r\npart', 'failed'],
  ['chunks without the last one', `${CLOSE}transfer-encoding: chunked\r\n`, '4\r\npart\r\n', 'failed'],
  ['an answer without length', '', 'part', 'end'],
  ['a part on a kept connection', 'content-length: 5\r\n', 'part', 'failed'],
] as const) {
  test(`should survive the end of ${form} that is read late`, async () => {
    expect(await readLate(head, body)).toEqual(['part', end]);
  });
}
