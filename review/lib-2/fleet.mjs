/**
 * A small deployment on loopback addresses: the entries and agents of the deploy file as processes, against stand-ins
 * of the platform's store, the model runners beside the agents, and any other runners of a case.
 */
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { ModelRunner } from './modelRunner.mjs';
import { pause } from './runner.mjs';
import { Store } from './store.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
export const ZONES = ['north', 'south', 'west'];
const REGIONS = { north: 'r-north', south: 'r-south', west: 'r-west' };
const SHARED_KEY = 'larklatch-on-the-platform';
export const MODEL_SERVICE = 'writers';
export const MODEL = 'm0';
const READY_MILLISECONDS = 20_000;
/** The bounds of the small site files. */
export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  partition_max_ms: 5000,
  revoke_strict: false,
  revoke_ms: 5000,
  retry_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 100,
  recovery_s: 12,
  iteration_ms: 120,
  retry_after_s: 0,
  version_ms: 8000,
  version_all_ms: 0,
  ttl_max_s: 5,
};

/** Thrown if a case can't be run. */
export class CannotRun extends Error {}

export class Fleet {
  store = new Store();
  entries = [];
  agents = [];
  modelRunners = [];
  #directory = mkdtempSync(path.join(tmpdir(), 'larklatch-review-'));
  #children = new Set();

  constructor({ network, entries = 3, agents = 3, createModelRunner, bounds = {} }) {
    this.network = network;
    this.counts = { entries, agents };
    this.bounds = { ...BOUNDS, ...bounds };
    /** Creates and starts the model runner of a machine; by default one that only holds version 1. */
    this.createModelRunner = createModelRunner;
    process.once('exit', () => this.#killAll());
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2));
  }

  /** Starts the store, the model runners and all processes. `configuration` is the first one of the operator. */
  async start(configuration) {
    this.storeAddress = await this.store.listen(`127.${this.network}.0.1`);
    this.ports = await freePorts(`127.${this.network}.1.1`);
    this.configure(configuration);
    this.store.put('versions', MODEL, { model: MODEL, version: 1 });
    for (let index = 0; index < this.counts.agents; index++) await this.#addAgent(index);
    for (let index = 0; index < this.counts.entries; index++) await this.#addEntry(index);
    await this.#untilReady();
  }

  /** Writes a configuration; returns when the store has acknowledged it. */
  configure(configuration) {
    return this.store.put('config', 'main', configuration);
  }

  /** Announces a runner in the store. */
  publish(runner, state) {
    this.store.put('servers', runner.id, runner.record(state));
  }

  /** Ends all processes and stand-ins, and removes their files. */
  async stop() {
    this.#killAll();
    while (this.#children.size > 0) await pause(20);
    for (const runner of this.modelRunners) runner.close();
    this.store.close();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** Starts a machine's process, again if it has ended. */
  launch(machine) {
    const log = openSync(machine.log, 'a');
    const { PATH, HOME } = process.env;
    const own = { LARKLATCH_CONFIG: machine.settings, LARKLATCH_SHARED_KEY: SHARED_KEY };
    const child = spawn('node', ['target/bundledMain.cjs', machine.role], {
      cwd: ROOT,
      env: { PATH, HOME, ...own },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    machine.child = child;
    machine.ended = new Promise((resolve) => child.once('exit', (code, signal) => resolve(signal ?? code)));
    this.#children.add(child);
    child.once('exit', () => this.#children.delete(child));
  }

  async #addAgent(index) {
    const host = `127.${this.network}.2.${index + 1}`;
    const zone = ZONES[index % ZONES.length];
    const runner = await (this.createModelRunner?.({ host, zone }) ??
      this.#plainModelRunner(index, host, zone));
    this.modelRunners.push(runner);
    const name = `side-${index + 1}`;
    const more = { app: runner.address, service: MODEL_SERVICE };
    this.agents.push(this.#addMachine({ name, role: 'agent', host, zone, more }));
  }

  async #plainModelRunner(index, host, zone) {
    const runner = new ModelRunner({ id: `m-${index + 1}`, service: MODEL_SERVICE, zone, model: MODEL });
    await runner.listen(host);
    this.publish(runner);
    return runner;
  }

  async #addEntry(index) {
    const host = `127.${this.network}.1.${index + 1}`;
    const { front, ready, control, directory } = this.ports;
    const listen = {
      front: `${host}:${front}`,
      ready: `${host}:${ready}`,
      control: `${host}:${control}`,
      directory: `${host}:${directory}`,
    };
    const seeds = Array.from({ length: 3 }, (_, seed) => `127.${this.network}.1.${seed + 1}:${control}`);
    const more = { listen, seeds, bootstrap: true };
    const zone = ZONES[index % ZONES.length];
    const machine = this.#addMachine({ name: `edge-${index + 1}`, role: 'entry', host, zone, more });
    this.entries.push(Object.assign(machine, { front: listen.front, ready: listen.ready }));
  }

  #addMachine({ name, role, host, zone, more }) {
    const settings = {
      node_name: name,
      role,
      machine_class: role === 'entry' ? 'edge' : 'side',
      ip: host,
      zone,
      region: REGIONS[zone],
      zones: REGIONS,
      port_range: [this.ports.range, this.ports.range + 15],
      limits: { cpu_share: 0.8, cores: 1, memory_mb: 350, max_fds: 4200, link_mbps: 1000, disk_mb: 0 },
      data_dir: null,
      discovery: 'platform',
      entry: 'registry',
      heartbeat_ms: 1200,
      bounds: this.bounds,
      platform: {
        address: this.storeAddress,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
      },
      ...more,
    };
    const file = path.join(this.#directory, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const machine = {
      name,
      role,
      host,
      zone,
      settings: file,
      log: path.join(this.#directory, `${name}.log`),
    };
    this.launch(machine);
    return machine;
  }

  async #untilReady() {
    const endsAt = Date.now() + READY_MILLISECONDS;
    for (const { ready, name } of this.entries) {
      while (!(await isReady(ready))) {
        if (Date.now() > endsAt) throw new CannotRun(`${name} is not ready`);
        await pause(100);
      }
    }
  }

  #killAll() {
    for (const child of this.#children) child.kill('SIGKILL');
  }
}

async function isReady(address) {
  try {
    return (await fetch(`http://${address}/readyz`)).status === 200;
  } catch {
    return false;
  }
}

/** Finds free ports, which are the same on all machines. */
async function freePorts(host) {
  const ports = [];
  const servers = [];
  for (let index = 0; index < 4; index++) {
    const server = net.createServer();
    await new Promise((resolve) => server.listen(0, host, resolve));
    servers.push(server);
    ports.push(server.address().port);
  }
  for (const server of servers) server.close();
  const [front, ready, control, directory] = ports;
  const range = 20_000 + Math.floor(Math.random() * 500) * 16;
  return { front, ready, control, directory, range };
}

/** The configuration of a small deployment, with the routes and services of a case. */
export function configuration({ version, routes, services, tenants }) {
  const engine = {
    slots: 8,
    models: [{ name: MODEL }],
    step_ms: 7.4,
    read_per_s: 31_900,
    usual: { prompt: 500, answer: 100 },
  };
  const model = { name: MODEL_SERVICE, max_conns: 194, engine };
  const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 1_000_000,
    header_timeout_ms: 5_000,
    idle_timeout_ms: 15_000,
  };
  return { version, routes, services: [model, ...services], tenants, limits };
}

export function route({ prefix, type, service, ...more }) {
  const common = { timeout_ms: 6000, latency_goal_ms: 400, priority: 1, max_attempts: 2, anonymous: false };
  return { name: `r${prefix}`, host: HOST, path_prefix: prefix, type, service, ...common, ...more };
}

export const HOST = 'games.example';
