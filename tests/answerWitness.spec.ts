/** Servers that close a second connection while they run. */
import net from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { setImmediate as turn } from 'node:timers/promises';
import { expect } from 'earl';
import { AnswerWitness } from '../src/utils/answerWitness.js';
import { ManualClock } from '../src/utils/clock.js';
import type { ProcessState } from '../src/utils/connectProbe.js';
import { until } from './fixtures/until.js';

/** Enough for a connection that the server has closed to be seen as lost. */
const TURNS = 50;

/** The verdict on a running server that closes the connection, and sends more of its answer `later` milliseconds after. */
async function stateAfterLoss(close: (socket: net.Socket) => void, later: number): Promise<ProcessState> {
  let closed = 0;
  const server = net.createServer((socket) => {
    socket.once('close', () => closed++);
    close(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const clock = new ManualClock();
  const witness = new AnswerWitness('127.0.0.1', (server.address() as AddressInfo).port, clock);
  await until(() => closed > 0);
  for (let count = 0; count < TURNS; count++) await turn();
  clock.advance(later);
  witness.noteData();
  const state = await witness.processState(() => Promise.resolve('running'));
  server.close();
  return state;
}

/** Guards against whole answers that fail at servers that take no more connections. */
test('should let the check decide about a server that resets the connection', async () => {
  const reset = (socket: net.Socket): void => void socket.resetAndDestroy();
  expect([await stateAfterLoss(reset, 0), await stateAfterLoss(reset, 1_000)]).toEqual([
    'running',
    'running',
  ]);
});

test('should tell an exit from a connection that a running server has closed', async () => {
  const close = (socket: net.Socket): void => void socket.end();
  expect([await stateAfterLoss(close, 0), await stateAfterLoss(close, 1_000)]).toEqual([
    'unknown',
    'running',
  ]);
});
