/** Tests each step of a rollout on one box, and events that interrupt it. */
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

const CHUNK_BYTES = 1_000;
const CHUNK_COUNT = 4;
const SERVICE = { customer: 'studio', configuration: 'advisor' };

/** An origin in memory, with faults to inject into reads. */
class FakeOrigin implements Origin {
  /** Faults of the next reads, in this order. */
  faults: ('corrupt' | 'cut' | 'refuse')[] = [];

  async manifest(_customer: string, model: string, version: string): Promise<Manifest> {
    const chunks = Array.from({ length: CHUNK_COUNT }, (_none, index) => {
      return { digest: sha256Hex(chunkBytes(version, index)), size: CHUNK_BYTES };
    });
    return { model, version, chunks };
  }

  async read({ version, offset }: OriginRange): Promise<AsyncIterable<Buffer>> {
    const fault = this.faults.shift();
    if (fault === 'refuse') throw new StepError('fake.read', 'refused by the test');
    const data = Buffer.from(chunkBytes(version, offset / CHUNK_BYTES));
    if (fault === 'corrupt') data[0] ^= 1;
    return (async function* () {
      yield fault === 'cut' ? data.subarray(0, CHUNK_BYTES / 2) : data;
    })();
  }
}

function chunkBytes(version: string, index: number): Buffer {
  return Buffer.alloc(CHUNK_BYTES, `${version}/${index}/`);
}

const hosts: ServiceHost[] = [];

after(() => hosts.forEach((host) => host.versions.forEach((version) => version.drop())));

interface HostFixture {
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
  const peersListener = {
    onPeerUp: () => undefined,
    onPeerDown: () => undefined,
    onPeerMessage: () => undefined,
  };
  const host = new ServiceHost({
    ...SERVICE,
    backend,
    exchange: {
      box: 'self',
      store: new ChunkStore(stagingBytes),
      peers: new AgentPeers(control, random, logger, peersListener),
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

function createFixture(stagingBytes = 100_000): HostFixture {
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
      const chunks = Array.from({ length: CHUNK_COUNT }, (_none, index) => index);
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

async function stageAndLoad(fixture: HostFixture, version: string): Promise<void> {
  await fixture.plan(version);
  fixture.grantAll(version);
  await until(() => fixture.state() === 'loaded');
}

/** Stages a version. The backend server finishes loading it when the returned function is called. */
async function startLoading(fixture: HostFixture, version: string): Promise<() => void> {
  let release!: () => void;
  fixture.backend.loading = new Promise((resolve) => (release = resolve));
  await fixture.plan(version);
  fixture.grantAll(version);
  await until(() => fixture.backend.seen.length === 1);
  return release;
}

test('should load and activate a version once every chunk is verified', async () => {
  const fixture = createFixture();
  await stageAndLoad(fixture, 'v1');
  expect(await fixture.activate('v1')).toEqual('accepted');
  expect(fixture.backend.activated()).toEqual(['v1']);
  expect(fixture.host.active?.plan.version).toEqual('v1');
});

test('should not activate a version that is not fully staged', async () => {
  const fixture = createFixture();
  await fixture.plan('v1');
  expect(await fixture.activate('v1')).toEqual('not-staged');
  expect(fixture.backend.seen).toEqual([]);
});

for (const fault of ['corrupt', 'cut'] as const) {
  test(`should not store a chunk that arrived ${fault}, and should report it for a new grant`, async () => {
    const fixture = createFixture();
    fixture.origin.faults = [fault];
    await fixture.plan('v1');
    fixture.grantAll('v1');
    await until(() => fixture.host.report(0)?.openDraws === 0);
    expect(fixture.host.report(0)?.failedDraws).toEqual([0]);
    expect(fixture.state()).toEqual('staging');
    expect(fixture.backend.seen).toEqual([]);
    fixture.grantAll('v1');
    await until(() => fixture.state() === 'loaded');
  });
}

test('should retry an origin fetch under the same grant when the origin refused it before sending bytes', async () => {
  const fixture = createFixture();
  fixture.origin.faults = ['refuse', 'refuse'];
  await stageAndLoad(fixture, 'v1');
  expect(fixture.host.report(0)?.originBytes).toEqual(CHUNK_COUNT * CHUNK_BYTES);
});

test('should refuse an order with an old epoch', async () => {
  const fixture = createFixture();
  await stageAndLoad(fixture, 'v1');
  fixture.host.admitEpoch(2);
  expect(await fixture.activate('v1', 1)).toEqual('stale-epoch');
  expect(fixture.backend.activated()).toEqual([]);
});

test('should refuse to activate a superseded version', async () => {
  const fixture = createFixture();
  await stageAndLoad(fixture, 'v1');
  await fixture.plan('v2');
  expect(await fixture.activate('v1')).toEqual('unknown-rollout');
  expect(fixture.backend.activated()).toEqual([]);
});

test('should not count the late load of a superseded version for its successor', async () => {
  const fixture = createFixture();
  const release = await startLoading(fixture, 'v1');
  await fixture.plan('v2');
  release();
  expect(fixture.state()).toEqual('staging');
  expect(await fixture.activate('v2')).toEqual('not-staged');
});

test('should keep the old version in service when the backend server refuses the new one', async () => {
  const fixture = createFixture();
  await stageAndLoad(fixture, 'v1');
  await fixture.activate('v1');
  await stageAndLoad(fixture, 'v2');
  fixture.backend.refuses.add('activate');
  expect(await fixture.activate('v2')).toEqual('backend-refused');
  expect(fixture.host.active?.plan.version).toEqual('v1');
  fixture.backend.refuses.delete('activate');
  expect(await fixture.activate('v2')).toEqual('accepted');
  expect(fixture.host.active?.plan.version).toEqual('v2');
});

test('should retry a load that the backend server refused', async () => {
  const fixture = createFixture();
  fixture.backend.refuses.add('load');
  await fixture.plan('v1');
  fixture.grantAll('v1');
  await until(() => fixture.host.report(0)?.problem !== '');
  fixture.backend.refuses.delete('load');
  await until(() => fixture.state() === 'loaded');
});

test('should not unload the old version while a request runs on it', async () => {
  const fixture = createFixture();
  await stageAndLoad(fixture, 'v1');
  await fixture.activate('v1');
  const old = fixture.host.active!;
  old.inFlight++;
  await stageAndLoad(fixture, 'v2');
  await fixture.activate('v2');
  expect(fixture.backend.seen.some((order) => order.verb === 'unload')).toEqual(false);
  fixture.host.onRequestEnd(old);
  expect(fixture.backend.seen.at(-1)).toEqual({ verb: 'unload', version: 'v1', epoch: 1 });
});

test('should activate once when the order arrives twice', async () => {
  const fixture = createFixture();
  await stageAndLoad(fixture, 'v1');
  expect(await Promise.all([fixture.activate('v1'), fixture.activate('v1')])).toEqual([
    'accepted',
    'accepted',
  ]);
  expect(fixture.backend.activated()).toEqual(['v1']);
});

test('should not serve after a withdrawal, even if a load finishes later', async () => {
  const fixture = createFixture();
  const release = await startLoading(fixture, 'v1');
  await fixture.host.withdraw();
  release();
  expect(fixture.host.active).toEqual(undefined);
  expect(fixture.host.report(0)).toEqual(undefined);
});

test('should report the required bytes when the staging memory is too small, and fetch nothing', async () => {
  const fixture = createFixture(CHUNK_BYTES);
  await fixture.plan('v1');
  fixture.grantAll('v1');
  expect(fixture.host.report(0)?.problem.startsWith('staging memory: needs 4000 bytes')).toEqual(true);
  expect(fixture.host.report(0)?.originBytes).toEqual(0);
});
