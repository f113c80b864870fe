/** The order in which a box sends chunks, and which requests it refuses. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, test } from 'node:test';
import { expect } from 'earl';
import { RateLimiter } from '../src/utils/rateLimiter.js';
import { UploadQueue } from '../src/weights/uploadQueue.js';
import { until } from './fixtures/until.js';

const DATA = Buffer.alloc(20_000, 1);
const RATE = 400_000;

let queue: UploadQueue;
let begun: string[];
let server: http.Server;
let base = '';

before(async () => {
  server = http.createServer((request, response) => {
    const [, chunk, place] = (request.url ?? '').split('/');
    void queue.send(response, DATA, { chunk, priority: place === 'far' ? 'other-data-centre' : 'usual' });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  base = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

after(() => {
  server.close();
  server.closeAllConnections();
});

/** Requests `path`, adds it to `begun` when the response begins, and resolves with the status at its end. */
async function ask(path: string): Promise<number> {
  return await new Promise((resolve, reject) => {
    const request = http.get(`${base}/${path}`, { agent: false }, (answer) => {
      if (answer.statusCode === 200) begun.push(path);
      answer.resume();
      answer.once('end', () => resolve(answer.statusCode ?? 0));
    });
    request.once('error', reject);
  });
}

test('should serve another data centre before an earlier request from its own', async () => {
  queue = new UploadQueue(new RateLimiter(RATE), 5_000, 4_096);
  begun = [];
  const first = ask('a/near');
  await until(() => queue.length === 1);
  const second = ask('b/near');
  await until(() => queue.length === 2);
  const third = ask('c/far');
  await Promise.all([first, second, third]);
  expect(begun).toEqual(['a/near', 'c/far', 'b/near']);
});

test('should serve chunks first that it has sent less often', async () => {
  queue = new UploadQueue(new RateLimiter(RATE), 5_000, 4_096);
  begun = [];
  await ask('a/far');
  const running = ask('b/far');
  await until(() => queue.length === 1);
  const again = ask('a/far');
  await until(() => queue.length === 2);
  const fresh = ask('c/far');
  await Promise.all([running, again, fresh]);
  expect(begun).toEqual(['a/far', 'b/far', 'c/far', 'a/far']);
});

test('should refuse its own data centre when it is busy, but still accept other data centres', async () => {
  queue = new UploadQueue(new RateLimiter(RATE), 5_000, 4_096);
  begun = [];
  const first = ask('a/near');
  await until(() => queue.length === 1);
  const second = ask('b/near');
  const third = ask('c/near');
  await until(() => queue.length === 3);
  expect(await ask('d/near')).toEqual(503);
  expect(await ask('d/far')).toEqual(200);
  expect(await Promise.all([first, second, third])).toEqual([200, 200, 200]);
});
