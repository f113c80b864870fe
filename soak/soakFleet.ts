/** Runs the real programs as processes on loopback addresses against stand-ins of the platform. */
import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { pause } from '../src/utils/timers.js';
import { PlatformOriginStandin } from '../standins/platformOriginStandin.js';
import { PlatformRunnerStandin } from '../standins/platformRunnerStandin.js';
import { PlatformStoreStandin } from '../standins/platformStoreStandin.js';
import type { FleetWeights, SoakFleetOptions } from './fleetOptions.js';
import type { ProcessRole } from './fleetProcess.js';
import { FleetProcess } from './fleetProcess.js';
import { LoopbackProxy } from './loopbackProxy.js';
import { MODEL, MODEL_SERVICE, PLAIN_SERVICE, soakConfiguration } from './soakConfiguration.js';
import { agentSettings, entrySettings } from './processSettings.js';
import { ZONES } from './soakBounds.js';
import { SoakEvacuations } from './soakEvacuations.js';
import { PORTS } from './soakPorts.js';

/** The route that only the newest configuration has. */
export interface NewestRoute {
  prefix: string;
  /** When that configuration was stored, in wall clock milliseconds. */
  since: number;
}

/** Delay of calls to a runner, so that other events can fall between reading chunks back and activating a version. */
const RUNNER_CALL_MILLISECONDS = 6;
/** Time until a crashed server is replaced. */
const CRASH_RESTART_MILLISECONDS = 2_000;

/** A box with a backend server and the proxy in front of it. */
export interface SoakBox {
  host: string;
  zone: string;
  service: string;
  runner: PlatformRunnerStandin;
  /** Forwards requests from entries to the server. */
  proxy: LoopbackProxy;
  /** Number of servers that have been started on this box. */
  startCount: number;
  /** The state in the server's latest record. */
  state: 'ready' | 'draining';
}

/** Small versions on fast links, since a soak checks promises and not transfer times. */
const SMALL_WEIGHTS: FleetWeights = {
  shape: { model: MODEL, chunks: 12, chunkBytes: 4_096 },
  boxLinkMegabits: 50,
  originLink: { bytesPerSecond: 0, maximumConnections: 48 },
};
/** Number of entries that the settings of each entry list as seeds, as on the platform. */
const SEEDS = 3;
export const SHARED_KEY = 'the key of a soak';

export class SoakFleet {
  readonly store = new PlatformStoreStandin();
  readonly origin: PlatformOriginStandin;
  readonly evacuations: SoakEvacuations;
  readonly entries: FleetProcess[] = [];
  readonly agents: FleetProcess[] = [];
  readonly boxes: SoakBox[] = [];
  /** Proxies between entries and the store, by the entry's name. */
  readonly storeProxies = new Map<string, LoopbackProxy>();
  readonly directory = mkdtempSync(path.join(tmpdir(), 'larklatch-soak-'));
  private readonly _options: SoakFleetOptions;
  private readonly _weights: FleetWeights;
  private _configurationVersion = 0;
  private _configuredAt = 0;
  private _weightsVersion = 1;
  private _originProxy: LoopbackProxy | undefined;
  private _originAddress = '';
  private _storeAddress = '';
  private _runnerCount = 0;
  private _isStopped = false;

  constructor(options: SoakFleetOptions) {
    const { random, weights = SMALL_WEIGHTS } = options;
    this._options = options;
    this._weights = weights;
    this.evacuations = new SoakEvacuations(this.store, options.listener.onEvacuation);
    this.origin = new PlatformOriginStandin(weights.shape, () => random.fraction(), weights.originLink);
  }

  get newestRoute(): NewestRoute {
    return { prefix: `/extra-${this._configurationVersion}/`, since: this._configuredAt };
  }

  /** The version of the weights that was announced last. */
  get weightsVersion(): number {
    return this._weightsVersion;
  }

  async start(): Promise<void> {
    this._storeAddress = new URL(await this.store.listen()).host;
    this._originProxy = new LoopbackProxy(await this.origin.listen());
    this._originAddress = await this._originProxy.listen('127.0.0.1', 0);
    this.configure();
    this.store.put('versions', MODEL, { model: MODEL, version: this._weightsVersion });
    for (let index = 0; index < this._options.size.modelBoxes; index++)
      await this._addBox(index, MODEL_SERVICE);
    for (let index = 0; index < this._options.size.plainServers; index++)
      await this._addBox(this._options.size.modelBoxes + index, PLAIN_SERVICE);
    for (let index = 0; index < this._options.size.entries; index++) await this._addEntry(index);
  }

  async stop(): Promise<void> {
    this._isStopped = true;
    for (const process of [...this.entries, ...this.agents]) process.signal('SIGKILL');
    await Promise.all([...this.entries, ...this.agents].map((process) => process.ended()));
    for (const { runner, proxy } of this.boxes) {
      runner.close();
      proxy.close();
    }
    for (const proxy of this.storeProxies.values()) proxy.close();
    this._originProxy?.close();
    this.store.close();
    this.origin.close();
  }

  /** Writes a newer configuration to the store and returns its version. */
  configure(): number {
    this._configurationVersion += 1 + this._options.random.integer(3);
    this._configuredAt = Date.now();
    this.store.put('config', 'main', this._configuration());
    return this._configurationVersion;
  }

  private _configuration(): unknown {
    const { crowdLimits } = this._options;
    const bodyBytes = crowdLimits?.bodyBytes;
    return soakConfiguration(
      this._configurationVersion,
      this.newestRoute.prefix,
      this._originAddress,
      bodyBytes,
    );
  }

  /** Announces a newer version of the model's weights and returns it. */
  announceWeights(): number {
    this._weightsVersion++;
    this.store.put('versions', MODEL, { model: MODEL, version: this._weightsVersion });
    return this._weightsVersion;
  }

  /** Ends the server of a box at once and removes its record from the store. */
  crashRunner(box: SoakBox): void {
    box.runner.close();
    box.proxy.close();
    this.store.remove('servers', box.runner.id);
  }

  /** Handles a request that crashed a server. The server's record stays until another one starts on the box. */
  private async _onCrash(runner: PlatformRunnerStandin, harm: string): Promise<void> {
    const box = this.boxes.find((candidate) => candidate.runner === runner);
    if (!box) return;
    box.proxy.close();
    this._options.listener.onCrash(harm);
    await pause(CRASH_RESTART_MILLISECONDS);
    if (box.runner !== runner || this._isStopped) return;
    this.store.remove('servers', runner.id);
    await this.startRunner(box);
  }

  /** Starts a server with a new id and no model on a box. It keeps the staged chunks of the one before. */
  async startRunner(box: SoakBox): Promise<void> {
    await this._launch(box, this._createRunner(box.service, 0), true);
  }

  /** Restarts the server of a box under its id, without a model. `keepsStaged` preserves its staged chunks. */
  async restartRunner(box: SoakBox, keepsStaged: boolean): Promise<void> {
    box.runner.close();
    await this._launch(box, this._createRunner(box.service, 0, box.runner.id), keepsStaged);
  }

  /** Kills the server of a box amid its answers and starts it again at once, at its address and under its id. */
  async killRunner(box: SoakBox): Promise<void> {
    box.runner.kill();
    await this._launch(box, this._createRunner(box.service, 0, box.runner.id), true);
  }

  private async _launch(box: SoakBox, runner: PlatformRunnerStandin, keepsStaged: boolean): Promise<void> {
    const { staged } = box.runner;
    box.runner = runner;
    if (keepsStaged) for (const [piece, bytes] of staged.bytes) runner.staged.put(piece, bytes);
    box.startCount++;
    await runner.listen(box.host, PORTS.runner);
    if (!box.proxy.isListening) await box.proxy.listen(box.host, PORTS.proxied);
    this.publish(box);
  }

  /** Writes the record of a server to the store. */
  publish(box: SoakBox, state: SoakBox['state'] = 'ready'): void {
    box.state = state;
    const record = box.runner.record(`${box.host}:${PORTS.proxied}`, box.zone, state);
    this.store.put('servers', box.runner.id, record);
  }

  /** Leaves the agents' connections to the origin open, as on a loss of power. The caller kills the agents. */
  abandonOriginConnections(): void {
    this._originProxy?.abandon();
  }

  /** Writes the latest records of the operator and the servers again, which the store may have lost. */
  rewriteRecords(): void {
    this.store.put('config', 'main', this._configuration());
    this.store.put('versions', MODEL, { model: MODEL, version: this._weightsVersion });
    for (const box of this.boxes) if (box.runner.isListening) this.publish(box, box.state);
    this.evacuations.rewrite();
  }

  /** Removes the records of servers that have ended and so no longer renew them. */
  removeStaleServers(): void {
    const running = new Set(this.boxes.map(({ runner }) => runner.id));
    for (const { name } of this.store.all('servers'))
      if (!running.has(name)) this.store.remove('servers', name);
  }

  /** Addresses of the directory endpoints of all entries, host:port. */
  directories(): string[] {
    return this.entries.map((_entry, index) => `${this._entryHost(index)}:${PORTS.directory}`);
  }

  /** The address of an entry for callers, host:port. */
  callerAddress(entry: FleetProcess): string {
    return `${this._entryHost(this.entries.indexOf(entry))}:${PORTS.front}`;
  }

  /** The data centre of an entry, by its index. */
  zoneOfEntry(index: number): string {
    return ZONES[index % ZONES.length];
  }

  /** Whether any entry has logged this request id. */
  hasLogged(id: string): boolean {
    return this.entries.some(({ logFile }) => readFileSync(logFile, 'utf8').includes(`"${id}"`));
  }

  private _entryHost(index: number): string {
    return `127.${this._options.network}.1.${index + 1}`;
  }

  private _createRunner(service: string, version: number, formerId?: string): PlatformRunnerStandin {
    if (formerId === undefined) this._runnerCount++;
    return new PlatformRunnerStandin({
      id: formerId ?? `i-${this._runnerCount}`,
      service,
      slots: 8,
      weights: service === MODEL_SERVICE ? this._weights.shape : undefined,
      version: service === MODEL_SERVICE ? version : 0,
      onExecution: (execution) => this._options.listener.onExecution(execution),
      onArrival: (arrival) => this._options.listener.onArrival(arrival),
      onSignals: (signals) => this._options.listener.onSignals(signals),
      onCrash: (runner, harm) => void this._onCrash(runner, harm),
      onIncompleteVersion: (runner, incomplete) =>
        this._options.listener.onIncompleteVersion(runner, incomplete),
      fraction: () => this._options.random.fraction(),
      callMilliseconds: RUNNER_CALL_MILLISECONDS,
    });
  }

  private async _addBox(index: number, service: string): Promise<void> {
    const host = `127.${this._options.network}.2.${index + 1}`;
    const zone = ZONES[index % ZONES.length];
    const runner = this._createRunner(service, 1);
    const proxy = new LoopbackProxy(`${host}:${PORTS.runner}`);
    const box: SoakBox = { host, zone, service, runner, proxy, startCount: 1, state: 'ready' };
    await runner.listen(host, PORTS.runner);
    await proxy.listen(host, PORTS.proxied);
    this.boxes.push(box);
    this.publish(box);
    if (service === MODEL_SERVICE) this._addAgent(box);
  }

  private _addAgent(box: SoakBox): void {
    const name = `side-${box.host}`;
    const node = { name, ip: box.host, zone: box.zone, graceSeconds: this._options.graceSeconds };
    const settings = agentSettings(node, this._weights.boxLinkMegabits, box.service, this._storeAddress);
    const agent = this._createProcess(`agent-${box.host}`, 'agent', settings);
    this.agents.push(agent);
    agent.start();
  }

  private async _addEntry(index: number): Promise<void> {
    const host = this._entryHost(index);
    const proxy = new LoopbackProxy(this._storeAddress);
    const address = await proxy.listen(host, 0);
    const name = `entry-${index + 1}`;
    this.storeProxies.set(name, proxy);
    const zone = this.zoneOfEntry(index);
    const { graceSeconds, crowdLimits } = this._options;
    const seeds = Array.from({ length: SEEDS }, (_unused, seed) => this._entryHost(seed));
    const settings = entrySettings({ name, ip: host, zone, graceSeconds }, address, seeds, crowdLimits);
    const entry = this._createProcess(name, 'entry', settings);
    this.entries.push(entry);
    entry.start();
  }

  private _createProcess(name: string, role: ProcessRole, settings: unknown): FleetProcess {
    return new FleetProcess({
      name,
      role,
      settings,
      directory: this.directory,
      sharedKey: SHARED_KEY,
      nodeArguments: this._options.nodeArguments?.[role],
      program: this._options.program,
    });
  }
}
