/**
 * Measures the processor time that the platform's daemons take for a start, an idle second, a request and a stream
 * event.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import { SeededRandom } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import { STREAM_EVENTS } from '../standins/platformAnswers.js';
import type { FleetProcess, ProcessRole } from '../soak/fleetProcess.js';
import { CUSTOMERS, HOST, MODEL } from '../soak/soakConfiguration.js';
import { SoakFleet } from '../soak/soakFleet.js';
import { printLine } from './benchLine.js';
import { processorMilliseconds } from './processUsage.js';
import { StatusSource } from './statusSource.js';

const SIZE = { entries: 12, modelBoxes: 12, plainServers: 3 };
const NETWORK = 61;
const SEED = 1;
/** Time in which all processes have started and connected to each other. */
const STARTUP_MILLISECONDS = 4_000;
const IDLE_MILLISECONDS = 8_000;
const LOAD_MILLISECONDS = 8_000;
/** Stand-ins for agents; with the agents of the fleet as many as an entry connects to. */
const STATUS_SOURCES = 28;
/** Interval at which each stand-in sends statuses: an entry of a large fleet under load receives some 90 a second. */
const STATUS_MILLISECONDS = 311;
/** Concurrent requests to one entry. */
const CALLERS_PER_ENTRY = 3;
const CONDITIONS = '12 entries, 12 agents, bundled programs, loopback, mean of the processes, one run';
const BUNDLER = path.resolve('scripts/buildPlatform.mjs');
const PROGRAM_IN_DEPLOY_FILE = 'target/bundledMain.cjs';
const PROGRAM = path.resolve(PROGRAM_IN_DEPLOY_FILE);
const DEPLOY_FILE = 'deploy/system.toml';

/** The kind of request that a measurement sends. */
interface RequestTarget {
  method: string;
  path: string;
  headers: Record<string, string>;
}

const REQUEST: RequestTarget = { method: 'GET', path: '/boards/x', headers: {} };
const STREAM: RequestTarget = { method: 'POST', path: '/chat/x?stream=1', headers: { 'x-model': MODEL } };

/** Prints the costs of a fleet that runs the bundled programs with the node arguments of the deploy file. */
export async function benchCosts(): Promise<void> {
  execFileSync(process.execPath, [BUNDLER], { stdio: 'inherit' });
  const fleet = new SoakFleet({
    size: SIZE,
    network: NETWORK,
    random: new SeededRandom(SEED),
    listener: {
      onExecution: () => undefined,
      onIncompleteVersion: () => undefined,
      onCrash: () => undefined,
      onArrival: () => undefined,
      onSignals: () => undefined,
      onEvacuation: () => () => undefined,
    },
    program: PROGRAM,
    nodeArguments: { entry: deployedNodeArguments('entry'), agent: deployedNodeArguments('agent') },
  });
  try {
    await fleet.start();
    await pause(STARTUP_MILLISECONDS);
    print('costs.start', 'ms', meanProcessorMilliseconds(fleet.entries), 'entry');
    print('costs.start', 'ms', meanProcessorMilliseconds(fleet.agents), 'agent');
    const [idleEntry, idleAgent] = await measureIdle(fleet);
    print('costs.idleSecond', 'ms/s', idleEntry, 'entry');
    print('costs.idleSecond', 'ms/s', idleAgent, 'agent');
    const request = await measureLoad(fleet, REQUEST, idleEntry);
    const stream = await measureLoad(fleet, STREAM, idleEntry);
    print('costs.request', 'ms', request, 'entry, a plain request');
    print('costs.event', 'ms', (stream - request) / STREAM_EVENTS, 'entry, an event beyond the request');
    await measureStatuses(fleet);
  } finally {
    await fleet.stop();
  }
}

/** Returns the arguments of node in the deploy file: a code cache is valid only for processes with the same ones. */
function deployedNodeArguments(role: ProcessRole): string[] {
  const run = new RegExp(`^run = "node (.*)${PROGRAM_IN_DEPLOY_FILE} ${role}"$`, 'm');
  const nodeArguments = run.exec(readFileSync(DEPLOY_FILE, 'utf8'))?.[1] ?? '';
  return nodeArguments.split(' ').filter((argument) => argument !== '');
}

function print(name: string, unit: string, value: number, what: string): void {
  printLine({ name, value, unit, baseline: null, conditions: `${what}; ${CONDITIONS}` });
}

/** Mean processor time of the processes since their start, in milliseconds. */
function meanProcessorMilliseconds(processes: readonly FleetProcess[]): number {
  const times = processes.map(({ processId }) => processorMilliseconds(processId!));
  return times.reduce((sum, time) => sum + time, 0) / times.length;
}

/** Milliseconds of processor time that an entry and an agent take in a second without requests. */
async function measureIdle({ entries, agents }: SoakFleet): Promise<[entry: number, agent: number]> {
  const before = [meanProcessorMilliseconds(entries), meanProcessorMilliseconds(agents)];
  await pause(IDLE_MILLISECONDS);
  const seconds = IDLE_MILLISECONDS / 1000;
  return [
    (meanProcessorMilliseconds(entries) - before[0]) / seconds,
    (meanProcessorMilliseconds(agents) - before[1]) / seconds,
  ];
}

/**
 * Prints what an entry that is connected to as many agents as an entry of a large fleet takes in an idle second, and
 * for a status of an agent.
 */
async function measureStatuses(fleet: SoakFleet): Promise<void> {
  const sources = Array.from(
    { length: STATUS_SOURCES },
    (_unused, index) => new StatusSource(NETWORK, index),
  );
  for (const source of sources) await source.start(fleet.store);
  await pause(STARTUP_MILLISECONDS);
  const [idle] = await measureIdle(fleet);
  const what = `entry, connected to ${SIZE.modelBoxes + STATUS_SOURCES} agents`;
  print('costs.connectedIdleSecond', 'ms/s', idle, what);
  const stopSending: (() => void)[] = [];
  for (const source of sources) {
    stopSending.push(source.sendEvery(STATUS_MILLISECONDS));
    // Spread over the interval, as those of independent agents are.
    await pause(STATUS_MILLISECONDS / STATUS_SOURCES);
  }
  const [loaded] = await measureIdle(fleet);
  for (const stop of stopSending) stop();
  for (const source of sources) source.close();
  const perSecond = (STATUS_SOURCES * 1000) / STATUS_MILLISECONDS;
  print(
    'costs.status',
    'ms',
    (loaded - idle) / perSecond,
    `${what}, ${Math.round(perSecond)} statuses a second`,
  );
}

/** Milliseconds of processor time that an entry takes for one request, beyond its `idle` milliseconds a second. */
async function measureLoad(fleet: SoakFleet, target: RequestTarget, idle: number): Promise<number> {
  const before = meanProcessorMilliseconds(fleet.entries);
  const until = performance.now() + LOAD_MILLISECONDS;
  const callers = fleet.entries.flatMap((entry) =>
    Array.from(
      { length: CALLERS_PER_ENTRY },
      async () => await sendRequestsUntil(fleet, entry, target, until),
    ),
  );
  const answered = (await Promise.all(callers)).reduce((sum, count) => sum + count, 0);
  const used = meanProcessorMilliseconds(fleet.entries) - before - (idle * LOAD_MILLISECONDS) / 1000;
  return (used * fleet.entries.length) / answered;
}

/** Sends one request after the other until the given time and returns the number of answers with status 200. */
async function sendRequestsUntil(
  fleet: SoakFleet,
  entry: FleetProcess,
  target: RequestTarget,
  until: number,
): Promise<number> {
  const agent = new http.Agent({ keepAlive: true });
  const [host, port] = fleet.callerAddress(entry).split(':');
  let answered = 0;
  while (performance.now() < until) {
    const headers = {
      ...target.headers,
      host: HOST,
      'x-attempt-id': `${entry.name}-${performance.now()}`,
      authorization: `Bearer ${CUSTOMERS[0].api_keys[0]}`,
    };
    const { method, path: requestPath } = target;
    if ((await sendRequest({ host, port, method, path: requestPath, headers, agent })) === 200) answered++;
    await pause(20);
  }
  agent.destroy();
  return answered;
}

async function sendRequest(options: http.RequestOptions): Promise<number> {
  return await new Promise((resolve) => {
    const request = http.request(options, (answer) => {
      answer.resume();
      answer.once('close', () => resolve(answer.statusCode ?? 0));
    });
    request.once('error', () => resolve(0));
    request.end();
  });
}
