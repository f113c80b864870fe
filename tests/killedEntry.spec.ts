/** Answers that an entry is passing on when it is killed; the system closes its connections in order. */
import http from 'node:http';
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import type { ArrivedRequest } from '../standins/scriptedBackend.js';
import { events } from '../standins/scriptedBackend.js';
import { EntryProcess } from './fixtures/entryProcess.js';

const HOST = '127.0.9.1';

let entry: EntryProcess;

afterEach(() => entry.close());

function head({ headers }: ArrivedRequest, contentType: string): string {
  const id = headers.get('x-attempt-id') ?? '';
  return `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Seal: s\r\nContent-Type: ${contentType}\r\n\r\n`;
}

/** Sends a request and kills the entry at the first bytes of the body. Returns whether the answer looks complete. */
async function looksCompleteAfterKill(): Promise<boolean> {
  const [host, port] = entry.front.split(':');
  const headers = { host: 'host.example', 'x-attempt-id': 'a', authorization: 'Bearer key' };
  return await new Promise((resolve, reject) => {
    const request = http.get({ host, port, path: '/a/x', headers, agent: false }, (answer) => {
      answer.once('data', () => {
        answer.pause();
        entry.process.kill('SIGKILL');
        entry.process.once('exit', () => answer.resume());
      });
      answer.on('error', () => undefined);
      answer.once('close', () => resolve(answer.complete));
    });
    request.once('error', reject);
  });
}

test('should let no stream without length look complete', async () => {
  entry = new EntryProcess(HOST, (request) => {
    request.socket.write(head(request, 'text/event-stream') + events(1, 2));
  });
  await entry.start({ type: 'streaming', itl_target_ms: 300 });
  expect(await looksCompleteAfterKill()).toEqual(false);
});

test('should let no long answer without length look complete', async () => {
  const body = 'x'.repeat(12_000_000);
  entry = new EntryProcess(HOST, (request) => void request.socket.end(head(request, 'text/plain') + body));
  await entry.start();
  expect(await looksCompleteAfterKill()).toEqual(false);
});
