/**
 * Invalid objects that other clients write to the store must not stop an entry, be used as servers, or hide valid
 * objects.
 */
import http from 'node:http';
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { PLATFORM_HEADER_NAMES, PLATFORM_PATHS } from '../platform/headers.js';
import { PlatformRecordReader } from '../platform/records.js';
import { PlatformStore } from '../platform/store.js';
import { UnreadableRecords } from '../src/records/unreadableRecords.js';
import { GatewayDaemon } from '../src/serving/gatewayDaemon.js';
import { gatewaySettingsSchema } from '../src/settings/gatewaySettings.js';
import { PlatformStoreStandin } from '../standins/platformStoreStandin.js';
import { ScriptedBackend } from '../standins/scriptedBackend.js';
import { freePort } from './fixtures/freePort.js';
import { createRecordingLog } from './fixtures/recordingLog.js';
import { until } from './fixtures/until.js';

const SEED = 20_261_203;
const RUNS = 3_000;
/** Number of invalid objects that a running entry receives. */
const RUNNING_CASES = 600;
const RUNNING_ROUNDS = 6;
const reader = new PlatformRecordReader();
let store: PlatformStoreStandin;

const GOOD: Record<string, unknown> = {
  service: 'elsewhere',
  address: '127.0.0.1:1',
  zone: 'north',
  version: 'v1',
  slots: 4,
  state: 'ready',
  cold_left_ms: 0,
  seq_no: 0,
  born: 1_700_000_000_000,
  models: [{ name: 'm', version: 1 }],
};
/** Required fields of a server's record. */
const REQUIRED_FIELDS = Object.keys(GOOD).filter((field) => field !== 'born' && field !== 'models');

const oddValue = fc.oneof(
  fc.anything({ withBigInt: false, withDate: false, withMap: false, withSet: false }),
  fc.constantFrom<unknown>(
    null,
    undefined,
    -1,
    1.5,
    1e300,
    '',
    'starting',
    '1.1.1.1',
    [],
    {},
    '\u0000\ud800',
  ),
);
/** A valid record with one field replaced by an arbitrary value. */
const invalidRecord = fc
  .tuple(fc.constantFrom(...Object.keys(GOOD)), oddValue)
  .map(([field, value]) => ({ field, value, record: { ...GOOD, [field]: value } }));

const oddObject = fc.oneof(
  oddValue,
  invalidRecord.map(({ record }) => record),
);
const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: 'r',
      host: 'host.example',
      path_prefix: '/a/',
      type: 'idempotent',
      service: 'plain',
      timeout_ms: 5_000,
    },
  ],
  services: [{ name: 'plain', max_conns: 32 }],
  tenants: [{ name: 'studio', api_keys: ['key'] }],
};

test('should reject a record with an invalid field, or read a server whose fields are all valid', () => {
  fc.assert(
    fc.property(invalidRecord, ({ record }) => {
      const read = reader.server('i-1', record);
      if (read.isErr()) return;
      const { address, slots, startedAt, dataCentre, service } = read.value;
      expect(/^[A-Za-z0-9.-]+:\d+$/.test(address)).toEqual(true);
      expect(Number.isSafeInteger(slots) && slots >= 0).toEqual(true);
      expect(Number.isSafeInteger(startedAt) && startedAt >= 0).toEqual(true);
      expect(dataCentre.length > 0 && service.length > 0).toEqual(true);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('should reject a record that lacks a required field', () => {
  for (const field of REQUIRED_FIELDS)
    expect(reader.server('i-1', { ...GOOD, [field]: undefined }).isErr()).toEqual(true);
});

test('should read or reject any value without throwing', () => {
  fc.assert(
    fc.property(fc.string(), oddValue, (name, value) => {
      for (const read of [reader.server(name, value), reader.version(name, value)])
        expect(read.isOk() || read.error.length > 0).toEqual(true);
      reader.configuration('main', value);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

/**
 * Starts an entry in this process with the platform's store adapter, and a backend server that answers its requests.
 */
async function startEntry(): Promise<{
  ask: () => Promise<number>;
  arrivals: () => number;
  close: () => void;
}> {
  store = new PlatformStoreStandin();
  const storeAddress = new URL(await store.listen()).host;
  const backend = new ScriptedBackend(({ socket, headers }) => {
    const id = headers.get('x-attempt-id') ?? '';
    socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok`);
  });
  store.put('config', 'main', CONFIGURATION);
  store.put('servers', 'good', { ...GOOD, service: 'plain', address: await backend.listen() });
  const log = createRecordingLog();
  const unreadable = new UnreadableRecords(log.log);
  const front = `127.0.0.1:${await freePort()}`;
  const other = `127.0.0.1:${await freePort()}`;
  const settings = gatewaySettingsSchema.parse({
    box: 'entry-1',
    dataCentre: 'north',
    callerAddress: front,
    readyAddress: other,
    directoryAddress: other,
    controlAddress: `127.0.0.1:${await freePort()}`,
    metricsAddress: '127.0.0.1:0',
    storeAddress,
    sharedKey: 'a key for the tests',
    agentPort: 7_700,
  });
  const gateway = new GatewayDaemon(settings, {
    platform: {
      store: new PlatformStore(storeAddress, (kind, reason) => unreadable.reportNameless(kind, reason)),
      reader,
      unreadable,
    },
    names: PLATFORM_HEADER_NAMES,
    paths: PLATFORM_PATHS,
    log: log.log,
  });
  await gateway.start();
  await until(() => log.steps().includes('server.found') && log.steps().includes('configuration.applied'));
  const headers = { host: 'host.example', 'X-Attempt-Id': 'a1', Authorization: 'Bearer key' };
  const [host, port] = front.split(':');
  return {
    ask: async () =>
      await new Promise((resolve, reject) => {
        const options = { host, port, path: '/a/x', headers, agent: false };
        const request = http.get(options, (answer) => resolve(answer.resume().statusCode ?? 0));
        request.once('error', reject);
      }),
    arrivals: () => backend.arrived.length,
    close: () => {
      gateway.close();
      backend.close();
      store.close();
    },
  };
}

/** Guards against requests that end without an answer because of an address that cannot be parsed. */
test('should answer every request while servers with addresses that are none are listed', async () => {
  const entry = await startEntry();
  try {
    const hosts = ['999.1.1.1', '1.2.3.4.5', '123456789012', '9'.repeat(300)];
    for (const [index, host] of hosts.entries())
      store.put('servers', `odd-${index}`, { ...GOOD, service: 'plain', address: `${host}:80` });
    await allReceived();
    const answers = new Set<number | string>();
    for (let request = 0; request < 40; request++) answers.add(await entry.ask().catch(() => 'none'));
    expect([...answers]).toEqual([200]);
  } finally {
    entry.close();
  }
});

test('should keep serving from the valid record while invalid objects arrive', async () => {
  const entry = await startEntry();
  try {
    const cases = fc.sample(fc.tuple(fc.constantFrom('servers', 'versions', 'config'), oddObject), {
      seed: SEED,
      numRuns: RUNNING_CASES,
    });
    for (let round = 0; round < RUNNING_ROUNDS; round++) {
      const from = (round * RUNNING_CASES) / RUNNING_ROUNDS;
      const until = ((round + 1) * RUNNING_CASES) / RUNNING_ROUNDS;
      for (const [index, [kind, value]] of cases.slice(from, until).entries())
        store.put(kind, `odd-${from + index}`, value);
      store.put('servers', 'odd-without-anything', null);
      expect(await entry.ask()).toEqual(200);
      await allReceived();
      expect(await entry.ask()).toEqual(200);
    }
    expect(entry.arrivals()).toEqual(2 * RUNNING_ROUNDS);
  } finally {
    entry.close();
  }
});

/** Waits until the entry has received all objects, by waiting for a later change of the same kind. */
async function allReceived(): Promise<void> {
  const calls = (): number => store.calls.filter((call) => call.includes('watch=')).length;
  const before = calls();
  store.put('servers', 'marker', { now: before });
  await until(() => calls() > before + 1);
}
