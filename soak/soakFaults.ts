/** Applies the faults and planned operations of a soak, from outside of the processes. */
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import { ORIGIN_FAULTS } from '../standins/platformOriginStandin.js';
import { DEGRADING_KINDS, degrade, faultsOf } from './degradedServers.js';
import type { FaultKind } from './faultKinds.js';
import { SIGNAL_KINDS, faultScope, keepsPromises } from './faultKinds.js';
import type { FleetProcess } from './fleetProcess.js';
import type { ProxyMode } from './loopbackProxy.js';
import type { PromiseChecks } from './promiseChecks.js';
import type { SeparateFaultsOptions } from './separateFaults.js';
import { createSeparateFaults } from './separateFaults.js';
import type { SignalChecks } from './signalChecks.js';
import { SignalFaults } from './signalFaults.js';
import { removeStaleServers, rollBackStore } from './storeRollback.js';
import { ZONES } from './soakBounds.js';
import type { SoakBox, SoakFleet } from './soakFleet.js';
import { FOREIGN_VALUES, MODEL_SERVICE, PLAIN_SERVICE } from './soakConfiguration.js';

const PROXY_MODES: readonly ProxyMode[] = ['delay', 'reset', 'stall-requests', 'stall-answers', 'stall'];
const FAULT_SPREAD_MILLISECONDS = 3_500;
const MIN_FAULT_MILLISECONDS = 300;
const MAX_RESTART_DELAY_MILLISECONDS = 300;
/** Time that a draining server keeps running before it ends. */
const DRAIN_MILLISECONDS = 3_500;
const KILLED_SHARE = 0.6;
const CORRUPTED_SHARE = 0.05;
const CORRUPTION_INTERVAL_MILLISECONDS = 400;
/** Maximum number of restarts of a server in a row. */
const MAX_RESTARTS = 3;
const MAX_RESTART_GAP_MILLISECONDS = 700;
/** Number of versions announced shortly after each other while servers restart. */
const VERSIONS_DURING_RESTARTS = 4;
const MAX_VERSION_PAUSE_MILLISECONDS = 400;
const RESTARTED_SHARE = 0.5;
/** Delay after which the store performs a write that it did not answer. */
const LATE_WRITE_MILLISECONDS = 1_500;

/** Options of {@link SoakFaults}: what it harms, and the checks that have to know of it. */
export interface SoakFaultsOptions extends Omit<SeparateFaultsOptions, 'restart' | 'isDraining'> {
  signals: SignalChecks;
  log: (line: string) => void;
}

/** Applies faults, of which several may be active at the same time. */
export class SoakFaults {
  private readonly _fleet: SoakFleet;
  private readonly _checks: PromiseChecks;
  private readonly _signals: SignalFaults;
  private readonly _random: Random;
  private readonly _log: (line: string) => void;
  private readonly _drainingBoxes = new Set<SoakBox>();
  private readonly _separateFaults: ReturnType<typeof createSeparateFaults>;

  constructor(options: SoakFaultsOptions) {
    this._fleet = options.fleet;
    this._checks = options.checks;
    this._random = options.random;
    this._signals = new SignalFaults(options.signals, options.random);
    this._log = options.log;
    this._separateFaults = createSeparateFaults({
      ...options,
      restart: async (entry) => await this._stopEntry(entry),
      isDraining: (box) => this._drainingBoxes.has(box),
    });
  }

  /** Applies a fault and resolves when it is over. */
  async apply(kind: FaultKind): Promise<void> {
    const endFault = keepsPromises(kind) ? () => undefined : this._checks.onFault(faultScope(kind));
    const milliseconds = MIN_FAULT_MILLISECONDS + this._random.integer(FAULT_SPREAD_MILLISECONDS);
    this._log(`${kind} ${milliseconds}`);
    try {
      const separate = this._separateFaults[kind];
      if (separate) await separate(milliseconds);
      else if (SIGNAL_KINDS.includes(kind)) await this._applySignal(kind, this._pick(this._fleet.boxes));
      else await this._applyFault(kind, milliseconds);
    } finally {
      endFault();
    }
    if (kind === 'roll-back-store') await this._writeRecordsAfterRollback();
  }

  private async _applyFault(kind: FaultKind, milliseconds: number): Promise<void> {
    const { entries, agents } = this._fleet;
    switch (kind) {
      case 'configure':
        return void this._fleet.configure();
      case 'name-weights':
        return this._checks.onVersionAnnounced(this._fleet.announceWeights());
      case 'reload':
        return this._pick([...entries, ...agents]).signal('SIGHUP');
      case 'stop-entry':
        return await this._stopEntry(this._pick(entries));
      case 'stop-agent':
        return await this._restartProcesses([this._pick(agents)], 'SIGTERM');
      case 'kill-entry':
        return await this._restartProcesses([this._pick(entries)], 'SIGKILL');
      case 'kill-agent':
        return await this._restartProcesses([this._pick(agents)], 'SIGKILL');
      case 'kill-many':
        return await this._restartProcesses(
          [...entries, ...agents].filter(() => this._random.fraction() < KILLED_SHARE),
          'SIGKILL',
        );
      case 'freeze-entry':
        return await this._freeze(this._pick(entries), milliseconds);
      case 'freeze-agent':
        return await this._freeze(this._pick(agents), milliseconds);
      case 'evacuate':
        return await this._fleet.evacuations.run(this._pick(ZONES), milliseconds);
      case 'lose-power':
        return await this._losePower();
      case 'roll-back-store':
        return await rollBackStore(this._fleet, this._random);
      default:
        return await this._applyExternalFault(kind, milliseconds);
    }
  }

  /** Applies a fault of anything but entries and agents. */
  private async _applyExternalFault(kind: FaultKind, milliseconds: number): Promise<void> {
    const { store, origin, boxes, storeProxies } = this._fleet;
    if (kind === 'forget-history') return store.dropHistory();
    if (kind === 'replace-server') return await this._replaceServer(this._pick(this._boxesOf(MODEL_SERVICE)));
    if (kind === 'crash-server') return await this._crashServer(this._pick(boxes), milliseconds);
    if (kind === 'restart-server') return await this._restartServer(this._pick(boxes));
    if (kind === 'restart-amid-versions') return await this._restartDuringVersions();
    if (kind === 'foreign-records') return await this._writeForeignRecords(milliseconds);
    if (kind === 'rot-chunks')
      return await this._corruptStagedChunks(this._pick(this._boxesOf(MODEL_SERVICE)), milliseconds);
    if (kind === 'harm-store' || kind === 'lose-writes') {
      await this._breakStore(kind, milliseconds);
    } else if (kind === 'harm-origin') {
      origin.faults = this._pick(ORIGIN_FAULTS);
      // The origin is read only while a new version is transferred.
      this._checks.onVersionAnnounced(this._fleet.announceWeights());
      await pause(milliseconds);
      origin.faults = {};
    } else if (DEGRADING_KINDS.includes(kind))
      await degrade(this._pick(boxes), faultsOf(kind, this._random), milliseconds);
    else {
      const links = kind === 'harm-store-link' ? [...storeProxies.values()] : boxes.map(({ proxy }) => proxy);
      const link = this._pick(links);
      link.setMode(this._pick(PROXY_MODES));
      await pause(milliseconds);
      link.setMode('pass');
    }
  }

  /** Makes a server send a signal in its answers or its record. */
  private async _applySignal(kind: FaultKind, box: SoakBox): Promise<void> {
    if (kind === 'limit-server') await this._signals.limit(box);
    else if (kind === 'reject-with-retry-after') await this._signals.rejectWithRetryAfter(box);
    else if (kind === 'turn-cold')
      await this._signals.turnCold(box, () => this._fleet.publish(box, box.state));
    else await this._drainByAnswers(box);
  }

  private async _breakStore(kind: 'harm-store' | 'lose-writes', milliseconds: number): Promise<void> {
    const { store } = this._fleet;
    if (kind === 'lose-writes') store.faults = { lateWritesMilliseconds: LATE_WRITE_MILLISECONDS };
    else store.faults = this._random.integer(2) === 0 ? { status: 503 } : { silent: true };
    await pause(milliseconds);
    store.faults = {};
  }

  /** Writes new records after a rollback, which entries must obey like any others. */
  private async _writeRecordsAfterRollback(): Promise<void> {
    await removeStaleServers(this._fleet);
    this._fleet.configure();
    await this._replaceServer(this._pick(this._boxesOf(MODEL_SERVICE)));
  }

  private async _stopEntry(entry: FleetProcess): Promise<void> {
    const endStop = this._checks.onStopping(this._fleet.callerAddress(entry));
    await this._restartProcesses([entry], 'SIGTERM');
    endStop();
  }

  private async _restartProcesses(
    processes: readonly FleetProcess[],
    signal: 'SIGTERM' | 'SIGKILL',
  ): Promise<void> {
    const ended = processes.filter((process) => process.running && !process.paused);
    for (const process of ended) process.signal(signal);
    await Promise.all(ended.map((process) => process.ended()));
    const entries = ended
      .filter(({ role }) => role === 'entry')
      .map((entry) => this._fleet.callerAddress(entry));
    for (const entry of entries) this._checks.configurations.onEntryEnded(entry);
    await pause(this._random.integer(MAX_RESTART_DELAY_MILLISECONDS));
    for (const process of ended) process.start();
    for (const entry of entries) this._checks.configurations.onEntryStarted(entry);
  }

  /** Cuts the power of all agents' boxes during the transfer of a version. The origin sees no closed connections. */
  private async _losePower(): Promise<void> {
    this._checks.onVersionAnnounced(this._fleet.announceWeights());
    await pause(this._random.integer(MAX_VERSION_PAUSE_MILLISECONDS));
    this._fleet.abandonOriginConnections();
    await this._restartProcesses(this._fleet.agents, 'SIGKILL');
  }

  private async _freeze(process: FleetProcess, milliseconds: number): Promise<void> {
    if (!process.running || process.paused) return;
    process.signal('SIGSTOP');
    await pause(milliseconds);
    process.signal('SIGCONT');
  }

  private async _crashServer(box: SoakBox, milliseconds: number): Promise<void> {
    const { runner } = box;
    this._fleet.crashRunner(box);
    await pause(milliseconds);
    if (box.runner === runner) await this._fleet.startRunner(box);
  }

  /** Restarts a server under its id, up to a few times in a row. Each restart keeps or loses its staged chunks. */
  private async _restartServer(box: SoakBox): Promise<void> {
    const restarts = 1 + this._random.integer(MAX_RESTARTS);
    for (let restart = 0; restart < restarts && !this._drainingBoxes.has(box); restart++) {
      await this._fleet.restartRunner(box, this._random.integer(2) === 0);
      await pause(this._random.integer(MAX_RESTART_GAP_MILLISECONDS));
    }
  }

  /** Announces several versions and restarts some servers, which keep their staged chunks, during each transfer. */
  private async _restartDuringVersions(): Promise<void> {
    for (let version = 0; version < VERSIONS_DURING_RESTARTS; version++) {
      this._checks.onVersionAnnounced(this._fleet.announceWeights());
      await pause(this._random.integer(MAX_VERSION_PAUSE_MILLISECONDS));
      const restarted = this._boxesOf(MODEL_SERVICE).filter(() => this._random.fraction() < RESTARTED_SHARE);
      const staying = restarted.filter((box) => !this._drainingBoxes.has(box));
      await Promise.all(staying.map((box) => this._fleet.restartRunner(box, true)));
      await pause(this._random.integer(MAX_VERSION_PAUSE_MILLISECONDS));
    }
  }

  /** Writes invalid records under new names, and for a while in place of the record of one server. */
  private async _writeForeignRecords(milliseconds: number): Promise<void> {
    const { store, boxes } = this._fleet;
    const kinds = ['servers', 'versions', 'config'];
    for (const [index, value] of FOREIGN_VALUES.entries())
      store.put(this._pick(kinds), `foreign-${index}`, value);
    const box = this._pick(boxes);
    const { runner } = box;
    if (this._drainingBoxes.has(box)) return;
    store.put('servers', runner.id, this._pick(FOREIGN_VALUES));
    await pause(milliseconds);
    if (box.runner.id === runner.id && !this._drainingBoxes.has(box)) this._fleet.publish(box);
  }

  /** Replaces the server of a box by another one, after a graceful drain. */
  private async _replaceServer(box: SoakBox): Promise<void> {
    this._fleet.publish(box, 'draining');
    this._checks.onDraining(box.runner.id);
    await this._replaceAfterDrain(box);
  }

  /** Drains a server that announces this only in its answers: its record stays unchanged until it has ended. */
  private async _drainByAnswers(box: SoakBox): Promise<void> {
    if (this._drainingBoxes.has(box)) return;
    box.runner.faults = { ...box.runner.faults, leaving: true };
    await this._replaceAfterDrain(box);
  }

  /** Ends a server some time after it announced its drain, and starts another one in its place. */
  private async _replaceAfterDrain(box: SoakBox): Promise<void> {
    const { runner } = box;
    this._drainingBoxes.add(box);
    await pause(DRAIN_MILLISECONDS);
    this._drainingBoxes.delete(box);
    if (box.runner !== runner) return;
    this._fleet.crashRunner(box);
    await this._fleet.startRunner(box);
  }

  /** Corrupts staged chunks during the transfer of a version, while the agent can still detect that. */
  private async _corruptStagedChunks(box: SoakBox, milliseconds: number): Promise<void> {
    this._checks.onVersionAnnounced(this._fleet.announceWeights());
    for (let elapsed = 0; elapsed < milliseconds; elapsed += CORRUPTION_INTERVAL_MILLISECONDS) {
      const { staged } = box.runner;
      for (const piece of staged.bytes.keys()) {
        if (this._random.fraction() < CORRUPTED_SHARE) staged.corrupt(piece);
      }
      await pause(CORRUPTION_INTERVAL_MILLISECONDS);
    }
  }

  private _boxesOf(service: typeof MODEL_SERVICE | typeof PLAIN_SERVICE): SoakBox[] {
    return this._fleet.boxes.filter((box) => box.service === service);
  }

  private _pick<T>(items: readonly T[]): T {
    return items[this._random.integer(items.length)];
  }
}
