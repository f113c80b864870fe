/**
 * Starts the programs with the commands of the deploy file, each as a process with a settings file of its own, on
 * loopback addresses, with the settings of the small deployment korrigan-larklatch.
 */
import { spawn } from 'node:child_process';
import { existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as pause } from 'node:timers/promises';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const SHARED_KEY = 'larklatch-on-the-platform';
const PORTS = {
  front: 8005,
  ready: 8002,
  control: 8000,
  directory: 8009,
  app: 8001,
  range: 7700,
  metrics: 9464,
};
export const ZONES = { 'brest-hall': 'finistere', 'vannes-hall': 'morbihan', 'rennes-hall': 'ille-vilaine' };
export const ZONE_NAMES = Object.keys(ZONES);
const NETWORK_TRIES = 20;

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
  retry_slack: 102,
  recovery_s: 12,
  iteration_ms: 120,
  retry_after_s: 0,
  version_ms: 8000,
  version_all_ms: 0,
  ttl_max_s: 5,
};

/** The case could not be run; it shows nothing about the programs. */
export class CannotRun extends Error {}

/** Returns a loopback network, like `127.80.3`, on which the ports of a fleet are free. */
export async function freeNetwork() {
  for (let round = 0; round < NETWORK_TRIES; round++) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const ports = [...Object.values(PORTS), PORTS.range + 1];
    const free = await Promise.all(ports.map((port) => isFree(`${network}.10`, port)));
    if (free.every(Boolean)) return network;
  }
  throw new CannotRun('no loopback network with free ports');
}

async function isFree(host, port) {
  const server = net.createServer();
  return await new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** The command of a role in the deploy file: the program and its arguments. */
function commandOf(role) {
  const deploy = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = deploy.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (!run) throw new CannotRun(`the deploy file has no command for ${role}`);
  return run.split(' ');
}

export class Fleet {
  /** `storeAddressOf(entry)` returns the address at which an entry reaches the store. */
  constructor({ network, entries, storeAddress, storeAddressOf = () => storeAddress }) {
    this.network = network;
    this._entryCount = entries;
    this._storeAddress = storeAddress;
    this._storeAddressOf = storeAddressOf;
    this._folder = mkdtempSync(path.join(tmpdir(), 'larklatch-review-'));
    this._children = new Set();
    if (!existsSync(path.join(ROOT, 'target/bundledMain.cjs'))) throw new CannotRun('target/ is not built');
  }

  entryHost(index) {
    return `${this.network}.${10 + index}`;
  }

  sideHost(index) {
    return `${this.network}.${100 + index}`;
  }

  zone(index) {
    return ZONE_NAMES[index % ZONE_NAMES.length];
  }

  frontAddress(index) {
    return { host: this.entryHost(index), port: PORTS.front };
  }

  directoryUrl(index) {
    const query = `name=lark.example&region=${ZONES[this.zone(index)]}&zone=${this.zone(index)}`;
    return `http://${this.entryHost(index)}:${PORTS.directory}/resolve?${query}`;
  }

  appAddress(index) {
    return `${this.sideHost(index)}:${PORTS.app}`;
  }

  startEntry(index) {
    const host = this.entryHost(index);
    const listen = {
      front: `${host}:${PORTS.front}`,
      ready: `${host}:${PORTS.ready}`,
      control: `${host}:${PORTS.control}`,
      directory: `${host}:${PORTS.directory}`,
    };
    const limits = { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0 };
    const own = { machine_class: 'edge', serves: ['edge', 'registry', 'control'], listen, limits };
    return this._start('entry', `edge-${this.zone(index)}-${index + 1}`, {
      ...this._commonSettings(index, host, this._storeAddressOf(index)),
      ...own,
    });
  }

  startAgent(index, service) {
    const host = this.sideHost(index);
    const limits = { cpu_share: 0.81, cores: 1, memory_mb: 218, max_fds: 1494, link_mbps: 6.58, disk_mb: 0 };
    const own = { machine_class: 'side', serves: ['side'], listen: {}, limits, service };
    return this._start('agent', `side-${this.zone(index)}-${index + 1}`, {
      ...this._commonSettings(index, host, this._storeAddress),
      ...own,
      app: this.appAddress(index),
    });
  }

  _commonSettings(index, ip, storeAddress) {
    const seeds = Array.from({ length: Math.min(3, this._entryCount) }, (_unused, entry) => entry);
    return {
      ip,
      zone: this.zone(index),
      region: ZONES[this.zone(index)],
      zones: ZONES,
      port_range: [PORTS.range, PORTS.range + 15],
      seeds: seeds.map((entry) => `${this.entryHost(entry)}:${PORTS.control}`),
      bootstrap: true,
      data_dir: null,
      discovery: 'platform',
      entry: 'registry',
      heartbeat_ms: 1200,
      bounds: BOUNDS,
      platform: {
        address: storeAddress,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1_048_576,
        ttl_min_ms: 1000,
      },
    };
  }

  _start(role, name, settings) {
    const file = path.join(this._folder, `${name}.json`);
    writeFileSync(file, JSON.stringify({ node_name: name, role, ...settings }));
    const log = openSync(path.join(this._folder, `${name}.log`), 'a');
    const [program, ...args] = commandOf(role);
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, LARKLATCH_CONFIG: file, LARKLATCH_SHARED_KEY: SHARED_KEY },
      stdio: ['ignore', log, log],
    });
    this._children.add(child);
    child.once('exit', () => this._children.delete(child));
    return child;
  }

  /** Waits until each entry is ready and lists all entries. */
  async ready(milliseconds = 15_000) {
    const until = Date.now() + milliseconds;
    while (Date.now() < until) {
      const listed = await Promise.all(
        Array.from({ length: this._entryCount }, (_unused, index) => this._listedBy(index)),
      );
      if (listed.every((count) => count >= Math.min(2, this._entryCount))) return;
      await pause(200);
    }
    throw new CannotRun('the entries did not become ready');
  }

  async _listedBy(index) {
    try {
      const answer = await fetch(this.directoryUrl(index), { signal: AbortSignal.timeout(1000) });
      if (answer.status !== 200) return 0;
      return (await answer.json()).addresses.length;
    } catch {
      return 0;
    }
  }

  /** The lines that a process logged. */
  log(name) {
    return readFileSync(path.join(this._folder, `${name}.log`), 'utf8').split('\n');
  }

  /** Ends all processes, paused ones too, and removes their folder. */
  async stop() {
    const ended = [...this._children].map((child) => new Promise((resolve) => child.once('exit', resolve)));
    this.kill();
    await Promise.all(ended);
    if (!process.env.KEEP_LOGS) rmSync(this._folder, { recursive: true, force: true });
    else console.error(this._folder);
  }

  kill() {
    for (const child of this._children) child.kill('SIGKILL');
  }
}
