/** Connections to a backend server that closes them after some answers. */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import { BackendCall } from '../src/serving/backendCall.js';
import { BackendConnections } from '../src/serving/backendConnections.js';
import { TrackedServer } from '../src/serving/trackedServer.js';
import { ManualClock } from '../src/utils/clock.js';
import type { Script } from '../standins/scriptedBackend.js';
import { ScriptedBackend } from '../standins/scriptedBackend.js';
import { servingSignals } from './fixtures/servingSignals.js';
import { until } from './fixtures/until.js';

const REQUEST = { method: 'GET', path: '/', headers: [], body: undefined, promptSize: 0 };
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n';
const BODY = '4\r\nbody\r\n0\r\n\r\n';

let clock: ManualClock;
let backend: ScriptedBackend;
let connections: BackendConnections;

afterEach(() => {
  connections.close();
  backend.close();
});

async function start(script: Script): Promise<TrackedServer> {
  clock = new ManualClock();
  backend = new ScriptedBackend(script);
  const address = await backend.listen();
  connections = new BackendConnections({ address, connectMilliseconds: 500, clock, limit: () => 1 });
  const record = { id: 'i-1', startedAt: 0, address, service: 's', dataCentre: 'north' };
  const backpressure = servingSignals(clock).backpressureOf('i-1', 'north', 0);
  const place = { slots: 1, draining: false, models: [] };
  return new TrackedServer({ ...record, ...place }, connections, backpressure, clock, () => 1);
}

/** Sends `count` requests, each at the moment at which the answer before it ends. Returns how the answers ended. */
async function sendInTurn(server: TrackedServer, count: number): Promise<string[]> {
  const ends: string[] = [];
  const sendNext = (): void => {
    const end = (how: string): void => {
      ends.push(how);
      if (ends.length < count) sendNext();
    };
    const listener = { onHead: () => undefined, onData: () => undefined };
    const onFailed = ({ reason }: { reason: string }): void => end(reason);
    if (!BackendCall.send(server, REQUEST, { ...listener, onEnd: () => end('whole'), onFailed })) end('busy');
  };
  sendNext();
  await until(() => ends.length === count);
  return ends;
}

/** Guards against whole answers that fail because the connection before theirs was closed. */
test('should take the answers after one that closes its connection as whole', async () => {
  const server = await start(({ socket }) => {
    const closes = backend.arrived.length % 2 === 1;
    socket.write(`${CHUNKED}${closes ? 'Connection: close\r\n' : ''}\r\n${BODY}`);
  });
  expect(await sendInTurn(server, 20)).toEqual(Array.from({ length: 20 }, () => 'whole'));
});

test('should not exceed the limit when answers close their connections', async () => {
  let most = 0;
  const server = await start(({ socket }) => {
    most = Math.max(most, backend.opened - backend.closed);
    socket.end(`${CHUNKED}Connection: close\r\n\r\n${BODY}`);
  });
  await sendInTurn(server, 20);
  expect([most, backend.arrived.length]).toEqual([1, 20]);
});

/** Guards against the reset of a connection to a new process of the server, which an old connection gave its age. */
test('should not reset a connection that replaced an older one', async () => {
  const server = await start(({ socket }) => {
    if (backend.arrived.length === 1) {
      clock.advance(10);
      return void socket.write(`${CHUNKED}Connection: close\r\n\r\n${BODY}`);
    }
    connections.resetOpenedBefore(5);
    setTimeout(() => socket.write(`${CHUNKED}\r\n${BODY}`), 20);
  });
  expect(await sendInTurn(server, 2)).toEqual(['whole', 'whole']);
});

test('should reset a connection that is older than the process of the server', async () => {
  const server = await start(() => connections.resetOpenedBefore(5));
  expect(await sendInTurn(server, 1)).toEqual(['ERR_CONNECTION_CLOSED']);
});
