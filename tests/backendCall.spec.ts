/** Calls to a backend server whose signals change while the connection is being opened. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { CallFailure } from '../src/serving/backendCall.js';
import { BackendCall } from '../src/serving/backendCall.js';
import { BackendConnections } from '../src/serving/backendConnections.js';
import { TrackedServer } from '../src/serving/trackedServer.js';
import { SystemClock } from '../src/utils/clock.js';
import { ScriptedBackend, answers } from '../standins/scriptedBackend.js';
import { servingSignals } from './fixtures/servingSignals.js';

const REQUEST = { method: 'GET', path: '/', headers: [], body: undefined, promptSize: 0 };

/** Sends a request, and applies signals of the server before the connection is established. */
async function sendDuringSignal(signals: { leaving: boolean; retryAfterMilliseconds: number }) {
  const backend = new ScriptedBackend(answers());
  const address = await backend.listen();
  const clock = new SystemClock();
  const place = { service: 's', dataCentre: 'north', slots: 1, draining: false, models: [] };
  const connections = new BackendConnections({ address, connectMilliseconds: 500, clock, limit: () => 1 });
  const backpressure = servingSignals(clock).backpressureOf('i-1', 'north', 0);
  const record = { id: 'i-1', startedAt: 0, address, ...place };
  const server = new TrackedServer(record, connections, backpressure, clock, () => 1);
  const failure = await new Promise<CallFailure | undefined>((resolve) => {
    const listener = { onHead: () => undefined, onData: () => undefined };
    BackendCall.send(server, REQUEST, { ...listener, onEnd: () => resolve(undefined), onFailed: resolve });
    const none = { limitPerSecond: undefined, coldMilliseconds: 0, unreadable: undefined };
    backpressure.applySignals({ ...none, ...signals });
  });
  const arrivals = backend.arrived.length;
  connections.close();
  backend.close();
  return { failure, arrivals };
}

test('should send nothing over a connection established after the server has asked for a pause', async () => {
  const { failure, arrivals } = await sendDuringSignal({ leaving: false, retryAfterMilliseconds: 5_000 });
  expect([failure?.sent, arrivals]).toEqual([false, 0]);
});

test('should send nothing over a connection established after the server has announced that it leaves', async () => {
  const { failure, arrivals } = await sendDuringSignal({ leaving: true, retryAfterMilliseconds: 0 });
  expect([failure?.sent, arrivals]).toEqual([false, 0]);
});

test('should send over a connection when the server has sent no signal', async () => {
  const { failure, arrivals } = await sendDuringSignal({ leaving: false, retryAfterMilliseconds: 0 });
  expect([failure, arrivals]).toEqual([undefined, 1]);
});
