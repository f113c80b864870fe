/** Faults and planned work that a soak draws from; each is applied from outside the processes. */
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import { RUNNER_FAULTS } from '../standins/platformRunnerFaults.js';
import { CRASH_BODY } from '../standins/platformRunnerStandin.js';
import type { FaultKind } from './faultKinds.js';
import { PLANNED_KINDS } from './faultKinds.js';
import type { FleetProcess } from './fleetProcess.js';
import type { ProxyMode } from './loopbackProxy.js';
import type { Harmed, PromiseChecks } from './promiseChecks.js';
import type { SignalChecks } from './signalChecks.js';
import { SignalFaults } from './signalFaults.js';
import { lapseEntries, rollBackStore } from './storeRollback.js';
import { sendCrashing } from './soakCaller.js';
import type { SoakBox, SoakFleet } from './soakFleet.js';
import { FOREIGN_VALUES, MODEL_SERVICE, PLAIN_SERVICE } from './soakConfiguration.js';

const PROXY_MODES: readonly ProxyMode[] = ['delay', 'reset', 'deaf', 'mute', 'silent'];
const LONGEST_MILLISECONDS = 3_500;
const SHORTEST_MILLISECONDS = 300;
const RESTART_MILLISECONDS = 300;
/** A leaving server works on for so long before it ends. */
const LEAVE_MILLISECONDS = 3_500;
const KILLED_SHARE = 0.6;
const ROT_SHARE = 0.05;
const ROT_MILLISECONDS = 400;
/** A server that starts again does so up to so many times in a row. */
const MOST_RESTARTS = 3;
const RESTART_GAP_MILLISECONDS = 700;
/** Versions close together, each with some of the servers starting again while its chunks come. */
const VERSIONS_AMID_RESTARTS = 4;
const AMID_MILLISECONDS = 400;
const RESTARTED_SHARE = 0.5;
/** Writes that got no answer are done so much later. */
const LATE_WRITE_MILLISECONDS = 1_500;
/** Faults that are no harm to processes or links: what entries promise holds all the while. */
const HARMLESS_KINDS: readonly FaultKind[] = ['limit-server', 'leave-by-answers', 'reject-with-retry-after'];
/** Processes end by these and start again; none stands still, and no request lies on its way. */
const ENDING_KINDS: readonly FaultKind[] = ['kill-entry', 'kill-agent', 'kill-many'];
const CRASHING_SENDS = 80;
const CRASHING_GAP_MILLISECONDS = 120;
/** Applies one fault after the other; several may overlap. */
export class SoakFaults {
  private readonly _fleet: SoakFleet;
  private readonly _checks: PromiseChecks;
  private readonly _signals: SignalFaults;
  private readonly _random: Random;
  private readonly _log: (line: string) => void;
  private readonly _leaving = new Set<SoakBox>();
  private _crashing = 0;

  constructor(
    fleet: SoakFleet,
    checks: PromiseChecks,
    signals: SignalChecks,
    random: Random,
    log: (line: string) => void,
  ) {
    this._fleet = fleet;
    this._checks = checks;
    this._signals = new SignalFaults(signals, random);
    this._random = random;
    this._log = log;
  }

  /** Applies a fault and resolves when it has been lifted. */
  async apply(kind: FaultKind): Promise<void> {
    const isPlanned = (PLANNED_KINDS as readonly FaultKind[]).includes(kind);
    const isHarmless = isPlanned || HARMLESS_KINDS.includes(kind);
    const lift = isHarmless ? () => undefined : this._checks.onHarm(harmedBy(kind));
    const milliseconds = SHORTEST_MILLISECONDS + this._random.integer(LONGEST_MILLISECONDS);
    this._log(`${kind} ${milliseconds}`);
    try {
      if (HARMLESS_KINDS.includes(kind)) await this._ask(kind, this._pick(this._fleet.boxes));
      else await this._perform(kind, milliseconds);
    } finally {
      lift();
    }
    if (kind === 'roll-back-store') await this._changeAfterRollback();
  }

  private async _perform(kind: FaultKind, milliseconds: number): Promise<void> {
    const { entries, agents } = this._fleet;
    switch (kind) {
      case 'configure':
        return void this._fleet.configure();
      case 'name-weights':
        return this._checks.onNamed(this._fleet.nameWeights());
      case 'reload':
        return this._pick([...entries, ...agents]).signal('SIGHUP');
      case 'stop-entry':
        return await this._stopEntry(this._pick(entries));
      case 'stop-agent':
        return await this._end([this._pick(agents)], 'SIGTERM');
      case 'kill-entry':
        return await this._end([this._pick(entries)], 'SIGKILL');
      case 'kill-agent':
        return await this._end([this._pick(agents)], 'SIGKILL');
      case 'kill-many':
        return await this._end(
          [...entries, ...agents].filter(() => this._random.fraction() < KILLED_SHARE),
          'SIGKILL',
        );
      case 'freeze-entry':
        return await this._freeze(this._pick(entries), milliseconds);
      case 'freeze-agent':
        return await this._freeze(this._pick(agents), milliseconds);
      case 'lose-power':
        return await this._losePower();
      case 'roll-back-store':
        return await rollBackStore(this._fleet, this._random);
      default:
        return await this._harm(kind, milliseconds);
    }
  }

  private async _harm(kind: FaultKind, milliseconds: number): Promise<void> {
    const { store, origin, boxes, storeProxies } = this._fleet;
    if (kind === 'forget-history') return store.dropHistory();
    if (kind === 'replace-server') return await this._replace(this._pick(this._boxesOf(MODEL_SERVICE)));
    if (kind === 'crash-server') return await this._crash(this._pick(boxes), milliseconds);
    if (kind === 'restart-server') return await this._restart(this._pick(boxes));
    if (kind === 'restart-amid-versions') return await this._restartAmidVersions();
    if (kind === 'foreign-records') return await this._writeForeign(milliseconds);
    if (kind === 'crashing-request') return await this._sendCrashing();
    if (kind === 'rot-chunks') return await this._rot(this._pick(this._boxesOf(MODEL_SERVICE)), milliseconds);
    if (kind === 'harm-store' || kind === 'lose-writes') {
      await this._harmStore(kind, milliseconds);
    } else if (kind === 'harm-origin') {
      origin.faults = this._originFaults();
      // without a version that moves, nobody would notice
      this._checks.onNamed(this._fleet.nameWeights());
      await pause(milliseconds);
      origin.faults = {};
    } else if (kind === 'sick-server') await this._sicken(this._pick(boxes), milliseconds);
    else {
      const links = kind === 'harm-store-link' ? [...storeProxies.values()] : boxes.map(({ proxy }) => proxy);
      const link = this._pick(links);
      link.set(this._pick(PROXY_MODES));
      await pause(milliseconds);
      link.set('pass');
    }
  }

  /** A server asks for something in its answers. */
  private async _ask(kind: FaultKind, box: SoakBox): Promise<void> {
    if (kind === 'limit-server') await this._signals.limit(box);
    else if (kind === 'reject-with-retry-after') await this._signals.rejectWithRetryAfter(box);
    else await this._leaveByAnswers(box);
  }

  private async _harmStore(kind: 'harm-store' | 'lose-writes', milliseconds: number): Promise<void> {
    const { store } = this._fleet;
    if (kind === 'lose-writes') store.faults = { lateWritesMilliseconds: LATE_WRITE_MILLISECONDS };
    else store.faults = this._random.integer(2) === 0 ? { status: 503 } : { silent: true };
    await pause(milliseconds);
    store.faults = {};
  }

  /** What is said once all are in touch again is kept like anything else. */
  private async _changeAfterRollback(): Promise<void> {
    await lapseEntries(this._fleet);
    this._fleet.configure();
    await this._replace(this._pick(this._boxesOf(MODEL_SERVICE)));
  }

  private async _stopEntry(entry: FleetProcess): Promise<void> {
    const onEnded = this._checks.onStopping(this._fleet.callerAddress(entry));
    await this._end([entry], 'SIGTERM');
    onEnded();
  }

  private async _end(processes: readonly FleetProcess[], signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const ended = processes.filter((process) => process.running && !process.paused);
    for (const process of ended) process.signal(signal);
    await Promise.all(ended.map((process) => process.ended()));
    await pause(this._random.integer(RESTART_MILLISECONDS));
    for (const process of ended) process.start();
  }

  /** The boxes of all agents, while a version comes: the origin hears nothing of it. */
  private async _losePower(): Promise<void> {
    this._checks.onNamed(this._fleet.nameWeights());
    await pause(this._random.integer(AMID_MILLISECONDS));
    this._fleet.abandonOrigin();
    await this._end(this._fleet.agents, 'SIGKILL');
  }

  private async _freeze(process: FleetProcess, milliseconds: number): Promise<void> {
    if (!process.running || process.paused) return;
    process.signal('SIGSTOP');
    await pause(milliseconds);
    process.signal('SIGCONT');
  }

  /** What the server asks for in its answers meanwhile goes on. */
  private async _sicken(box: SoakBox, milliseconds: number): Promise<void> {
    const { runner } = box;
    const sick = this._pick(RUNNER_FAULTS);
    runner.faults = { ...runner.faults, ...sick };
    await pause(milliseconds);
    const well = Object.fromEntries(Object.keys(sick).map((fault) => [fault, undefined]));
    runner.faults = { ...runner.faults, ...well };
  }

  private async _crash(box: SoakBox, milliseconds: number): Promise<void> {
    const { runner } = box;
    this._fleet.crashRunner(box);
    await pause(milliseconds);
    if (box.runner === runner) await this._fleet.startRunner(box);
  }

  /** The server starts again under its id, up to a few times in a row; what lay staged is lost with the power. */
  private async _restart(box: SoakBox): Promise<void> {
    const restarts = 1 + this._random.integer(MOST_RESTARTS);
    for (let restart = 0; restart < restarts && !this._leaving.has(box); restart++) {
      await this._fleet.restartRunner(box, this._random.integer(2) === 0);
      await pause(this._random.integer(RESTART_GAP_MILLISECONDS));
    }
  }

  /** Names versions one after the other, and lets servers start again, with what lay staged, while chunks of each come. */
  private async _restartAmidVersions(): Promise<void> {
    for (let version = 0; version < VERSIONS_AMID_RESTARTS; version++) {
      this._checks.onNamed(this._fleet.nameWeights());
      await pause(this._random.integer(AMID_MILLISECONDS));
      const restarted = this._boxesOf(MODEL_SERVICE).filter(() => this._random.fraction() < RESTARTED_SHARE);
      const staying = restarted.filter((box) => !this._leaving.has(box));
      await Promise.all(staying.map((box) => this._fleet.restartRunner(box, true)));
      await pause(this._random.integer(AMID_MILLISECONDS));
    }
  }

  /** Writes what nobody can understand: beside the good entries, and for a while over one of them. */
  private async _writeForeign(milliseconds: number): Promise<void> {
    const { store, boxes } = this._fleet;
    const kinds = ['servers', 'versions', 'config'];
    for (const [index, value] of FOREIGN_VALUES.entries())
      store.put(this._pick(kinds), `foreign-${index}`, value);
    const box = this._pick(boxes);
    const { runner } = box;
    if (this._leaving.has(box)) return;
    store.put('servers', runner.id, this._pick(FOREIGN_VALUES));
    await pause(milliseconds);
    if (box.runner.id === runner.id && !this._leaving.has(box)) this._fleet.publish(box);
  }

  /** Another server takes over a box once the one there has ended in order. */
  private async _replace(box: SoakBox): Promise<void> {
    this._fleet.publish(box, 'draining');
    this._checks.onLeaving(box.runner.id);
    await this._endLeaving(box);
  }

  /** The server leaves, and only its answers say so: its record stays as it was until it has ended. */
  private async _leaveByAnswers(box: SoakBox): Promise<void> {
    if (this._leaving.has(box)) return;
    box.runner.faults = { ...box.runner.faults, leaving: true };
    await this._endLeaving(box);
  }

  /** Ends a server some time after it has said that it leaves, and starts another one in its place. */
  private async _endLeaving(box: SoakBox): Promise<void> {
    const { runner } = box;
    this._leaving.add(box);
    await pause(LEAVE_MILLISECONDS);
    this._leaving.delete(box);
    if (box.runner !== runner) return;
    this._fleet.crashRunner(box);
    await this._fleet.startRunner(box);
  }

  /** Callers come again and again with a request that ends each server which runs it, to any entry. */
  private async _sendCrashing(): Promise<void> {
    const round = this._crashing++;
    const body = `${CRASH_BODY} ${round}"}`;
    for (let sent = 0; sent < CRASHING_SENDS; sent++) {
      const id = `crashing-${round}-${sent}`;
      this._checks.onAsked(id);
      sendCrashing(this._fleet.callerAddress(this._pick(this._fleet.entries)), id, body);
      await pause(CRASHING_GAP_MILLISECONDS);
    }
  }

  /** Spoils what lies staged again and again while a version moves, but not so late that nobody could notice. */
  private async _rot(box: SoakBox, milliseconds: number): Promise<void> {
    this._checks.onNamed(this._fleet.nameWeights());
    for (let rotten = 0; rotten < milliseconds; rotten += ROT_MILLISECONDS) {
      for (const piece of box.runner.staged.keys()) {
        if (this._random.fraction() < ROT_SHARE) box.runner.corrupt(piece);
      }
      await pause(ROT_MILLISECONDS);
    }
  }

  private _originFaults(): SoakFleet['origin']['faults'] {
    return this._pick([{ status: 503 }, { silent: true }, { corruptShare: 0.3 }, { truncatedShare: 0.3 }]);
  }

  private _boxesOf(service: typeof MODEL_SERVICE | typeof PLAIN_SERVICE): SoakBox[] {
    return this._fleet.boxes.filter((box) => box.service === service);
  }

  private _pick<T>(items: readonly T[]): T {
    return items[this._random.integer(items.length)];
  }
}

function harmedBy(kind: FaultKind): Harmed {
  if (kind === 'crashing-request') return 'servers';
  if (kind === 'roll-back-store') return 'copy';
  return ENDING_KINDS.includes(kind) ? 'processes' : 'all';
}
