/** Whatever another writer leaves in the store: it stops nothing, names no server to use, and hides no good object. */
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
import { notedLog } from './fixtures/notedLog.js';
import { until } from './fixtures/until.js';

const SEED = 20_261_203;
const RUNS = 3_000;
/** Objects that an entry comes to know while it serves. */
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
/** Fields without which an entry is not one of a server. */
const NEEDED = Object.keys(GOOD).filter((field) => field !== 'born' && field !== 'models');

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
/** A good entry of which one field is something else. */
const spoiltEntry = fc
  .tuple(fc.constantFrom(...Object.keys(GOOD)), oddValue)
  .map(([field, value]) => ({ field, value, entry: { ...GOOD, [field]: value } }));

const oddObject = fc.oneof(
  oddValue,
  spoiltEntry.map(({ entry }) => entry),
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

test('should read a spoilt entry as no server, or as one whose every field is as it should be', () => {
  fc.assert(
    fc.property(spoiltEntry, ({ entry }) => {
      const read = reader.server('i-1', entry);
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

test('should read an entry without a field as no server', () => {
  for (const field of NEEDED)
    expect(reader.server('i-1', { ...GOOD, [field]: undefined }).isErr()).toEqual(true);
});

test('should read anything as a record or as none, and never fail', () => {
  fc.assert(
    fc.property(fc.string(), oddValue, (name, value) => {
      for (const read of [reader.server(name, value), reader.version(name, value)])
        expect(read.isOk() || read.error.length > 0).toEqual(true);
      reader.configuration('main', value);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

/** An entry in this process that follows the store by the adapter, and a backend server that answers. */
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
  const log = notedLog();
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

test('should go on serving by the good entry beside whatever else there is, in an entry that runs', async () => {
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
      await settled();
      expect(await entry.ask()).toEqual(200);
    }
    expect(entry.arrivals()).toEqual(2 * RUNNING_ROUNDS);
  } finally {
    entry.close();
  }
});

/** Waits until all that was put is known: a change after it comes to the same copy later. */
async function settled(): Promise<void> {
  const calls = (): number => store.calls.filter((call) => call.includes('watch=')).length;
  const before = calls();
  store.put('servers', 'marker', { now: before });
  await until(() => calls() > before + 1);
}
