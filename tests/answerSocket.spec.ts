/** Ends of connections as client sockets report them. */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import { AnswerSocket } from '../src/utils/answerSocket.js';
import type { RawScript } from './fixtures/rawServer.js';
import { RawServer, sendAndReset } from './fixtures/rawServer.js';

let server: RawServer | undefined;

afterEach(() => server?.close());

/** Connects, and returns what the socket reports: the bytes, and how they end. `onBytes` is called at the first ones. */
async function reports(
  script: RawScript,
  onBytes: (socket: AnswerSocket) => void = () => undefined,
): Promise<string[]> {
  server = new RawServer(script);
  const [host, port] = (await server.listen()).split(':');
  const socket = new AnswerSocket();
  const reported: string[] = [];
  return await new Promise((resolve) => {
    socket.on('readable', () => {
      for (let bytes = socket.read(); bytes !== null; bytes = socket.read()) reported.push(String(bytes));
      if (reported.length === 1) onBytes(socket);
    });
    socket.once('end', () => reported.push('end'));
    socket.once('error', (error: NodeJS.ErrnoException) => reported.push(error.code ?? ''));
    socket.once('close', () => resolve(reported));
    socket.connect({ host, port: Number(port) }, () => socket.write('begin'));
  });
}

test('should report an end in order', async () => {
  expect(await reports((socket) => void socket.end('bytes'))).toEqual(['bytes', 'end']);
});

/** Guards against an end in place of a reset that arrives together with the last bytes. */
test('should report a reset behind the last bytes', async () => {
  expect(await reports(sendAndReset('bytes'))).toEqual(['bytes', 'ERR_CONNECTION_RESET']);
});

/** Guards against a complete answer that is dropped because of what its server does afterwards. */
test('should report an end in order that a reset follows', async () => {
  const script: RawScript = (socket) => void socket.end('bytes', () => socket.resetAndDestroy());
  expect(await reports(script)).toEqual(['bytes', 'end']);
});

/** Guards against a part of an answer that counts as all of it because this process gave it up. */
test('should report that this process closed the connection', async () => {
  const script: RawScript = (socket) => void socket.write('bytes');
  expect(await reports(script, (socket) => socket.destroy())).toEqual(['bytes', 'ERR_CONNECTION_CLOSED']);
});

test('should report that this process reset the connection', async () => {
  const script: RawScript = (socket) => void socket.write('bytes');
  expect(await reports(script, (socket) => void socket.resetAndDestroy())).toEqual([
    'bytes',
    'ERR_CONNECTION_CLOSED',
  ]);
});
