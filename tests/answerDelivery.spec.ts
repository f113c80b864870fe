/** Answers of agents as an entry sends them to callers of either version of HTTP. */
import http from 'node:http';
import net from 'node:net';
import { text } from 'node:stream/consumers';
import { test } from 'node:test';
import { expect } from 'earl';
import { deliver } from '../src/entry/answerDelivery.js';
import { MemoryBudget } from '../src/limits/memoryBudget.js';
import type { RoutedAnswer } from '../src/requests/requestRouter.js';
import type { AnswerLimits } from '../src/utils/answerWriter.js';
import { closeHttp, listenHttp } from '../src/utils/httpServer.js';

function limitsWith(stallMilliseconds: number): AnswerLimits {
  return { memory: new MemoryBudget(1).share(), stallMilliseconds };
}

/** Delivers the parts that `body` yields to a caller, and returns what the caller received. */
async function received(body: () => AsyncGenerator<Buffer>, version: '1.0' | '1.1'): Promise<string> {
  const server = http.createServer((_request, response) => {
    const answer = { status: 200, contentType: 'text/plain', version: 'v1' };
    const parts = Object.assign(body(), { destroy: () => undefined });
    const routed = { answer: { ...answer, body: parts }, done: () => undefined };
    void deliver(routed as unknown as RoutedAnswer, 'r', response, limitsWith(60_000));
  });
  const socket = net.connect(await listenHttp(server, '127.0.0.1', 0), '127.0.0.1');
  socket.write(`GET / HTTP/${version}\r\nHost: h\r\nConnection: close\r\n\r\n`);
  const answer = await text(socket).catch(() => '');
  closeHttp(server);
  return answer;
}

async function* whole(): AsyncGenerator<Buffer> {
  yield Buffer.from('one ');
  yield Buffer.from('two');
}

async function* brokenOff(): AsyncGenerator<Buffer> {
  yield Buffer.from('one ');
  throw new Error('the agent is gone');
}

test('should deliver an answer in chunks', async () => {
  const answer = await received(whole, '1.1');
  expect(answer).toMatchRegex(/transfer-encoding: chunked/i);
  expect(answer.endsWith('0\r\n\r\n')).toEqual(true);
});

test('should deliver an answer with its length to a caller that takes no chunks', async () => {
  const answer = await received(whole, '1.0');
  expect(answer).toMatchRegex(/content-length: 7\r\n/i);
  expect(answer.endsWith('\r\n\r\none two')).toEqual(true);
});

/** Guards against a part that looks complete since its connection is closed in order. */
test('should deliver nothing of an answer that was broken off to a caller that takes no chunks', async () => {
  expect(await received(brokenOff, '1.0')).toEqual('');
});

async function* endless(): AsyncGenerator<Buffer> {
  for (;;) yield Buffer.alloc(64 * 1024);
}

/** Guards against callers that keep the slots of a box by answers that they never read. */
test('should cut off a caller that takes nothing of its answer', { timeout: 10_000 }, async () => {
  let onEnd: (end: unknown) => void = () => undefined;
  const ended = new Promise((resolve) => (onEnd = resolve));
  const server = http.createServer((_request, response) => {
    const parts = Object.assign(endless(), { destroy: () => undefined });
    const answer = { status: 200, contentType: 'text/plain', version: 'v1', body: parts };
    const routed = { answer, done: () => undefined } as unknown as RoutedAnswer;
    void deliver(routed, 'r', response, limitsWith(50)).then(onEnd);
  });
  const caller = net.connect(await listenHttp(server, '127.0.0.1', 0), '127.0.0.1');
  caller.on('error', () => undefined).write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
  expect(await ended).toEqual('caller-left');
  caller.destroy();
  closeHttp(server);
});
