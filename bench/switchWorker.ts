/** A thread of the switch bench that runs some of the agents, with fake backend servers and emulated links. */
import { parentPort, workerData } from 'node:worker_threads';
import { PlatformOrigin } from '../platform/runner.js';
import { ControlConnection } from '../src/protocol/controlConnection.js';
import { stagingSettingsSchema } from '../src/settings/stagingSettings.js';
import { StagingDaemon } from '../src/staging/stagingDaemon.js';
import { EventLog } from '../src/telemetry/eventLog.js';
import { Logger } from '../src/telemetry/logger.js';
import { pause } from '../src/utils/timers.js';
import { EmulatedLinks } from './emulatedLinks.js';
import { SwitchBackend } from './switchBackend.js';
import type { SwitchRunOptions, SwitchWorkerReport } from './switchFleet.js';

/** The boxes of a thread and the addresses that it needs. */
export interface SwitchWorkerData {
  options: SwitchRunOptions;
  indexes: readonly number[];
  workers: number;
  originAddress: string;
  controlPort: number;
  chunkPort: number;
}

interface WorkerBox {
  name: string;
  index: number;
  backend: SwitchBackend;
  agent: StagingDaemon;
  entry: ControlConnection;
}

const KEY = 'key of the bench';
const BYTES_PER_KILOBIT = 125;
const CONNECTING_MILLISECONDS = 1_500;
const THROTTLE_FACTOR = 5;
const POLL_MILLISECONDS = 20;
const REGION_MILLISECONDS = 15;

const { options, indexes, workers, originAddress, controlPort, chunkPort } = workerData as SwitchWorkerData;
const model = `model-${options.seed}`;
const links = new EmulatedLinks({
  boxBytesPerSecond: options.boxKilobits * BYTES_PER_KILOBIT,
  regionBytesPerSecond: (options.regionKilobits * BYTES_PER_KILOBIT) / workers,
  regionMilliseconds: REGION_MILLISECONDS,
  otherTraffic: options.otherTraffic,
  dataCentreOf: (box) => dataCentreOf(Number(box.split('-')[1])),
});

function dataCentreOf(index: number): string {
  return `dc-${index % options.dataCentres}`;
}

function nameOf(index: number): string {
  return `box-${index}`;
}

function report(message: SwitchWorkerReport): void {
  parentPort!.postMessage(message);
}

async function startBox(index: number): Promise<WorkerBox> {
  const name = nameOf(index);
  const address = `127.0.2.${index + 1}`;
  const backend = new SwitchBackend({ ...options, model });
  const settings = stagingSettingsSchema.parse({
    box: name,
    dataCentre: dataCentreOf(index),
    address,
    storeAddress: '127.0.0.1:1',
    backendAddress: '127.0.0.1:1',
    controlPort,
    chunkPort,
    metricsPort: 0,
    sharedKey: KEY,
    seed: options.seed,
    linkKilobits: options.boxKilobits,
    versionMilliseconds: options.versionMilliseconds,
  });
  const write = (line: string): void => report({ box: name, line });
  const agent = new StagingDaemon(settings, {
    backend,
    confirmations: { read: async () => undefined, write: async () => undefined },
    announcedModels: async () => [],
    originAt: (at) => new PlatformOrigin(at),
    log: new EventLog({ write }, 'decision'),
    exchangeLogger: new Logger('bench'),
  });
  await agent.start();
  const outside = `127.0.1.${index + 1}`;
  await links.add(name, dataCentreOf(index), { address, outside, chunkPort, controlPort });
  const identity = { role: 'entry', box: 'entry', dataCentre: 'dc-0' } as const;
  const control = { key: KEY, identity, peerTimeoutMilliseconds: 5_000 };
  const entry = await ControlConnection.connect(address, controlPort, control);
  entry.on('message', (message) => {
    if (message.type === 'box-status') report({ box: name, state: message.state });
  });
  entry.start();
  return { name, index, backend, agent, entry };
}

/** Tells the agent of a box of the origin and, unless `version` is 0, of the version to load. */
function sendPresence({ entry }: WorkerBox, version: number, knownMilliseconds: number): void {
  entry.send({
    type: 'entry-presence',
    entry: {
      box: 'entry',
      dataCentre: 'dc-0',
      address: '127.0.0.1:1',
      control: '127.0.0.1:2',
      leaving: false,
    },
    wanted: version > 0 ? [{ model, version, knownMilliseconds }] : [],
    origin: originAddress,
    hearsStatus: true,
    hearsEntries: false,
  });
}

/** Announces version 2 to a box after `delay`, and reports when its server has loaded it. */
async function switchBox(box: WorkerBox, delay: number): Promise<void> {
  const start = performance.now();
  if (box.index < options.throttledBoxes) links.throttle(box.name, THROTTLE_FACTOR);
  await pause(delay);
  sendPresence(box, 2, performance.now() - start);
  while (box.backend.version < 2) await pause(POLL_MILLISECONDS);
  const servingAfter = performance.now() - start;
  report({ box: box.name, servingAfter, corruptLoads: box.backend.corruptLoads });
}

async function stop(boxes: readonly WorkerBox[]): Promise<void> {
  for (const { agent, entry } of boxes) {
    entry.close('the bench ends');
    await agent.stop();
  }
  links.close();
}

const boxes: WorkerBox[] = [];
for (const index of indexes) boxes.push(await startBox(index));
parentPort!.on('message', (message: 'connect' | 'stop' | readonly number[]) => {
  if (message === 'connect') {
    const agents = Array.from({ length: options.boxes }, (_unused, index) => ({
      box: nameOf(index),
      dataCentre: dataCentreOf(index),
      address: `127.0.1.${index + 1}:${controlPort}`,
    }));
    for (const box of boxes) {
      box.entry.send({ type: 'agent-list', revision: 1, agents });
      sendPresence(box, 0, 0);
    }
    setTimeout(() => report({ connected: true }), CONNECTING_MILLISECONDS);
  } else if (message === 'stop') {
    void stop(boxes).then(() => process.exit(0));
  } else {
    for (const box of boxes) void switchBox(box, message[box.index]);
  }
});
report({ started: true });
