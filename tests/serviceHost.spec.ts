/** One version after the other on one box: every step of a rollout, with what may come between. */
import { after, test } from 'node:test';
import { expect } from 'earl';
import { ServiceHost } from '../src/agent/serviceHost.js';
import type { Origin, OriginRange } from '../src/external/origin.js';
import type { Manifest } from '../src/protocol/manifest.js';
import type { PlanMessage } from '../src/protocol/rolloutMessages.js';
import { Logger } from '../src/telemetry/logger.js';
import { SystemClock } from '../src/utils/clock.js';
import { sha256Hex } from '../src/utils/hash.js';
import { RateLimiter } from '../src/utils/rateLimiter.js';
import { SeededRandom } from '../src/utils/random.js';
import { StepError } from '../src/utils/stepError.js';
import { AgentPeers } from '../src/weights/agentPeers.js';
import { ChunkStore } from '../src/weights/chunkStore.js';
import { PeerChunkClient } from '../src/weights/peerChunkClient.js';
import { UploadQueue } from '../src/weights/uploadQueue.js';
import { FakeBackendServer } from './fixtures/fakeBackendServer.js';
import { until } from './fixtures/until.js';

const CHUNK = 1_000;
const CHUNKS = 4;
const SERVICE = { customer: 'studio', configuration: 'advisor' };

/** An origin whose next reads fail in named ways. */
class FakeOrigin implements Origin {
  faults: ('corrupt' | 'cut' | 'refuse')[] = [];

  async manifest(_customer: string, model: string, version: string): Promise<Manifest> {
    const chunks = Array.from({ length: CHUNKS }, (_none, index) => {
      return { digest: sha256Hex(bytesOf(version, index)), size: CHUNK };
    });
    return { model, version, chunks };
  }

  async read({ version, offset }: OriginRange): Promise<AsyncIterable<Buffer>> {
    const fault = this.faults.shift();
    if (fault === 'refuse') throw new StepError('fake.read', 'refused by the test');
    const data = Buffer.from(bytesOf(version, offset / CHUNK));
    if (fault === 'corrupt') data[0] ^= 1;
    return (async function* () {
      yield fault === 'cut' ? data.subarray(0, CHUNK / 2) : data;
    })();
  }
}

function bytesOf(version: string, index: number): Buffer {
  return Buffer.alloc(CHUNK, `${version}/${index}/`);
}

const hosts: ServiceHost[] = [];

after(() => hosts.forEach((host) => host.versions.forEach((version) => version.drop())));

interface Stage {
  host: ServiceHost;
  backend: FakeBackendServer;
  origin: FakeOrigin;
  plan(version: string, epoch?: number): Promise<void>;
  grantAll(version: string): void;
  activate(version: string, epoch?: number): Promise<string>;
  state(): string;
}

function createHost(backend: FakeBackendServer, origin: Origin, stagingBytes: number): ServiceHost {
  const random = new SeededRandom(1);
  const logger = new Logger('test');
  const identity = { role: 'agent' as const, box: 'self', dataCentre: 'h' };
  const control = { key: 'k', identity, peerTimeoutMilliseconds: 500 };
  const nobody = { onPeerUp: () => undefined, onPeerDown: () => undefined, onPeerMessage: () => undefined };
  const host = new ServiceHost({
    ...SERVICE,
    backend,
    exchange: {
      box: 'self',
      store: new ChunkStore(stagingBytes),
      peers: new AgentPeers(control, random, logger, nobody),
      client: new PeerChunkClient('token'),
      origin,
      uploads: new UploadQueue(new RateLimiter(0), 500),
      bounds: {
        stallMilliseconds: 500,
        incoming: new RateLimiter(0),
        fetchesAtOnce: 8,
        importStepMilliseconds: 2_000,
      },
      clock: new SystemClock(),
      random,
      logger,
    },
    random,
    logger,
    weightsBaseUrl: () => 'http://127.0.0.1:1',
    onChange: () => undefined,
  });
  hosts.push(host);
  return host;
}

function orderFor(
  version: string,
  epoch: number,
): typeof SERVICE & { call: number; epoch: number; rollout: string } {
  return { ...SERVICE, call: 1, epoch, rollout: `r-${version}` };
}

function planFor(version: string, epoch: number, manifest: Manifest): PlanMessage {
  return {
    ...orderFor(version, epoch),
    type: 'plan',
    kind: 'model',
    model: 'advisor',
    version,
    manifestDigest: 'd'.repeat(64),
    manifest,
    weight: 1,
    distribution: 'exchange',
    members: [{ box: 'self', dataCentre: 'h', address: '127.0.0.1', httpPort: 1, controlPort: 1 }],
  };
}

function stage(stagingBytes = 100_000): Stage {
  const backend = new FakeBackendServer();
  const origin = new FakeOrigin();
  const host = createHost(backend, origin, stagingBytes);
  return {
    host,
    backend,
    origin,
    plan: async (version, epoch = 1) => {
      host.admitEpoch(epoch);
      await host.plan(planFor(version, epoch, await origin.manifest('studio', 'advisor', version)));
      host.startTransfers();
    },
    grantAll: (version) => {
      const chunks = Array.from({ length: CHUNKS }, (_none, index) => index);
      host.grant({ ...orderFor(version, 1), type: 'grant', chunks });
    },
    activate: async (version, epoch = 1) => {
      if (!host.admitEpoch(epoch)) return 'stale-epoch';
      const result = await host.activate({ ...orderFor(version, epoch), type: 'activate' });
      return result.refusal ?? 'accepted';
    },
    state: () => host.report(0)?.state ?? 'none',
  };
}

async function loaded(on: Stage, version: string): Promise<void> {
  await on.plan(version);
  on.grantAll(version);
  await until(() => on.state() === 'loaded');
}

/** Stages a version whose load lasts until the returned function is called. */
async function loading(on: Stage, version: string): Promise<() => void> {
  let release!: () => void;
  on.backend.loading = new Promise((resolve) => (release = resolve));
  await on.plan(version);
  on.grantAll(version);
  await until(() => on.backend.seen.length === 1);
  return release;
}

test('should load and activate a version once every chunk is verified', async () => {
  const on = stage();
  await loaded(on, 'v1');
  expect(await on.activate('v1')).toEqual('accepted');
  expect(on.backend.activated()).toEqual(['v1']);
  expect(on.host.active?.plan.version).toEqual('v1');
});

test('should not activate what is not fully staged', async () => {
  const on = stage();
  await on.plan('v1');
  expect(await on.activate('v1')).toEqual('not-staged');
  expect(on.backend.seen).toEqual([]);
});

for (const fault of ['corrupt', 'cut'] as const) {
  test(`should not store a chunk that came ${fault}, and ask for a new grant`, async () => {
    const on = stage();
    on.origin.faults = [fault];
    await on.plan('v1');
    on.grantAll('v1');
    await until(() => on.host.report(0)?.openDraws === 0);
    expect(on.host.report(0)?.failedDraws).toEqual([0]);
    expect(on.state()).toEqual('staging');
    expect(on.backend.seen).toEqual([]);
    on.grantAll('v1');
    await until(() => on.state() === 'loaded');
  });
}

test('should try a draw again under the same grant when the origin refused it unread', async () => {
  const on = stage();
  on.origin.faults = ['refuse', 'refuse'];
  await loaded(on, 'v1');
  expect(on.host.report(0)?.originBytes).toEqual(CHUNKS * CHUNK);
});

test('should refuse an order of an epoch that has passed', async () => {
  const on = stage();
  await loaded(on, 'v1');
  on.host.admitEpoch(2);
  expect(await on.activate('v1', 1)).toEqual('stale-epoch');
  expect(on.backend.activated()).toEqual([]);
});

test('should refuse to activate a version that another one has replaced', async () => {
  const on = stage();
  await loaded(on, 'v1');
  await on.plan('v2');
  expect(await on.activate('v1')).toEqual('unknown-rollout');
  expect(on.backend.activated()).toEqual([]);
});

test('should not take a load that ended late for the version that replaced it', async () => {
  const on = stage();
  const release = await loading(on, 'v1');
  await on.plan('v2');
  release();
  expect(on.state()).toEqual('staging');
  expect(await on.activate('v2')).toEqual('not-staged');
});

test('should keep the old version in service when the backend server refuses the new one', async () => {
  const on = stage();
  await loaded(on, 'v1');
  await on.activate('v1');
  await loaded(on, 'v2');
  on.backend.refuses.add('activate');
  expect(await on.activate('v2')).toEqual('backend-refused');
  expect(on.host.active?.plan.version).toEqual('v1');
  on.backend.refuses.delete('activate');
  expect(await on.activate('v2')).toEqual('accepted');
  expect(on.host.active?.plan.version).toEqual('v2');
});

test('should load again when the backend server refused at first', async () => {
  const on = stage();
  on.backend.refuses.add('load');
  await on.plan('v1');
  on.grantAll('v1');
  await until(() => on.host.report(0)?.problem !== '');
  on.backend.refuses.delete('load');
  await until(() => on.state() === 'loaded');
});

test('should not unload the old version while a request runs on it', async () => {
  const on = stage();
  await loaded(on, 'v1');
  await on.activate('v1');
  const old = on.host.active!;
  old.inFlight++;
  await loaded(on, 'v2');
  await on.activate('v2');
  expect(on.backend.seen.some((order) => order.verb === 'unload')).toEqual(false);
  on.host.onRequestEnd(old);
  expect(on.backend.seen.at(-1)).toEqual({ verb: 'unload', version: 'v1', epoch: 1 });
});

test('should activate once when the order comes twice', async () => {
  const on = stage();
  await loaded(on, 'v1');
  expect(await Promise.all([on.activate('v1'), on.activate('v1')])).toEqual(['accepted', 'accepted']);
  expect(on.backend.activated()).toEqual(['v1']);
});

test('should serve nothing once withdrawn, also when a load ends later', async () => {
  const on = stage();
  const release = await loading(on, 'v1');
  await on.host.withdraw();
  release();
  expect(on.host.active).toEqual(undefined);
  expect(on.host.report(0)).toEqual(undefined);
});

test('should say what a version needs when the staging memory is too small, and draw nothing', async () => {
  const on = stage(CHUNK);
  await on.plan('v1');
  on.grantAll('v1');
  expect(on.host.report(0)?.problem.startsWith('staging memory: needs 4000 bytes')).toEqual(true);
  expect(on.host.report(0)?.originBytes).toEqual(0);
});
