/** Measures one switch of a version on a fleet of agents in threads, with an origin and links of limited rates. */
import { Worker } from 'node:worker_threads';
import { SeededRandom } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import { PlatformOriginStandin } from '../standins/platformOriginStandin.js';
import type { SwitchWorkerData } from './switchWorker.js';

/** The fleet, its links and the faults of a run. */
export interface SwitchRunOptions {
  boxes: number;
  dataCentres: number;
  chunks: number;
  chunkBytes: number;
  originKilobits: number;
  boxKilobits: number;
  regionKilobits: number;
  /** Share of each outgoing link that other traffic takes. */
  otherTraffic: number;
  versionMilliseconds: number;
  seed: number;
  /** Number of boxes whose outgoing links are at a fifth of their rate from the announcement on. */
  throttledBoxes: number;
  /** Milliseconds after the announcement until which the origin rejects all calls. */
  originDownMilliseconds: number;
}

/** Times in milliseconds after the announcement, in ascending order. */
export interface SwitchTimes {
  /** When each box had a complete copy, and served it. */
  whole: number[];
  serving: number[];
  originCopies: number;
  /** Largest number of boxes that were preparing or switching at the same time. */
  mostSwitching: number;
  /** Chunks that were missing, corrupt or from another version when a server was ordered to load them. */
  corruptLoads: number;
  logLines: string[];
}

/** A message of a thread. */
export interface SwitchWorkerReport {
  box?: string;
  started?: boolean;
  connected?: boolean;
  line?: string;
  state?: string;
  servingAfter?: number;
  corruptLoads?: number;
}

const BOXES_PER_WORKER = 6;
const BYTES_PER_KILOBIT = 125;
const ANNOUNCEMENT_SPREAD_MILLISECONDS = 150;
const POLL_MILLISECONDS = 20;
const MAX_RUN_MILLISECONDS = 25_000;
const FIRST_PORT = 9_300;
const PORTS = 100;

/** Announces a version to a running fleet and measures the switch to it. */
export async function measureSwitch(options: SwitchRunOptions): Promise<SwitchTimes> {
  const { chunks, chunkBytes, seed } = options;
  const link = { bytesPerSecond: options.originKilobits * BYTES_PER_KILOBIT, maximumConnections: 100 };
  const origin = new PlatformOriginStandin({ model: `model-${seed}`, chunks, chunkBytes }, () => 1, link);
  const originAddress = await origin.listen();
  const reports: SwitchWorkerReport[] = [];
  const workers = startWorkers(options, originAddress, (message) => void reports.push(message));
  const until = async (key: 'started' | 'connected' | 'servingAfter', total: number): Promise<void> => {
    const end = performance.now() + MAX_RUN_MILLISECONDS;
    while (performance.now() < end && reports.filter((each) => each[key]).length < total)
      await pause(POLL_MILLISECONDS);
  };
  const tell = (message: unknown): void => workers.forEach((worker) => worker.postMessage(message));
  await until('started', workers.length);
  tell('connect');
  await until('connected', workers.length);
  if (options.originDownMilliseconds > 0) {
    origin.faults = { status: 503 };
    setTimeout(() => (origin.faults = {}), options.originDownMilliseconds);
  }
  const random = new SeededRandom(seed);
  tell(Array.from({ length: options.boxes }, () => random.fraction() * ANNOUNCEMENT_SPREAD_MILLISECONDS));
  await until('servingAfter', options.boxes);
  const originCopies = origin.bytesSent / (chunks * chunkBytes);
  const ended = workers.map((worker) => new Promise((resolve) => worker.once('exit', resolve)));
  tell('stop');
  await Promise.all(ended);
  origin.close();
  return { ...timesOf(reports), originCopies };
}

function startWorkers(
  options: SwitchRunOptions,
  originAddress: string,
  onMessage: (message: SwitchWorkerReport) => void,
): Worker[] {
  const count = Math.ceil(options.boxes / BOXES_PER_WORKER);
  const controlPort = FIRST_PORT + 2 * (options.seed % PORTS);
  const ports = { controlPort, chunkPort: controlPort + 1 };
  const all = Array.from({ length: options.boxes }, (_unused, index) => index);
  return Array.from({ length: count }, (_unused, worker) => {
    const indexes = all.filter((index) => index % count === worker);
    const data: SwitchWorkerData = { options, indexes, workers: count, originAddress, ...ports };
    const started = new Worker(new URL('./switchWorker.js', import.meta.url), { workerData: data });
    return started.on('message', onMessage);
  });
}

function timesOf(reports: readonly SwitchWorkerReport[]): Omit<SwitchTimes, 'originCopies'> {
  const lines = reports.flatMap(({ box, line }) => (line === undefined ? [] : [{ box, line }]));
  const whole = lines
    .filter(({ line }) => line.includes('"version.whole"'))
    .map(({ line }) => (JSON.parse(line) as { milliseconds: number }).milliseconds);
  const states = new Map<string, string>();
  let mostSwitching = 0;
  for (const { box, state } of reports) {
    if (box && state) states.set(box, state);
    const switching = [...states.values()].filter((each) => each === 'preparing' || each === 'switching');
    mostSwitching = Math.max(mostSwitching, switching.length);
  }
  return {
    whole: whole.sort((a, b) => a - b),
    serving: reports.flatMap(({ servingAfter }) => servingAfter ?? []).sort((a, b) => a - b),
    mostSwitching,
    corruptLoads: reports.reduce((sum, { corruptLoads = 0 }) => sum + corruptLoads, 0),
    logLines: lines.map(({ box, line }) => `${box} ${line}`),
  };
}
