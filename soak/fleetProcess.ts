/** One process of larklatch as the platform starts it: a settings file, a role, its log lines. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import path from 'node:path';

export type ProcessRole = 'entry' | 'agent';

/** How a process is started; it can be started again after its end. */
export interface FleetProcessOptions {
  name: string;
  role: ProcessRole;
  /** Contents of its settings file. */
  settings: unknown;
  /** Where its settings and its log lie. */
  directory: string;
  sharedKey: string;
  /** Further words for node. */
  nodeArguments?: readonly string[];
  /** The program; as it is built for tests when left out. */
  program?: string;
}

const MAIN = new URL('../platform/main.js', import.meta.url).pathname;

/** Processes that still run; none outlives this one. */
const runningChildren = new Set<ChildProcess>();
process.once('exit', () => runningChildren.forEach((child) => child.kill('SIGKILL')));
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));

export class FleetProcess {
  readonly name: string;
  readonly role: ProcessRole;
  /** Ends that nobody asked for. */
  unexpectedExits = 0;
  private readonly _options: FleetProcessOptions;
  private _child: ChildProcess | undefined;
  private _expectsExit = false;
  private _isPaused = false;

  constructor(options: FleetProcessOptions) {
    this._options = options;
    this.name = options.name;
    this.role = options.role;
  }

  /** Where its output goes. */
  get logFile(): string {
    return path.join(this._options.directory, `${this.name}.log`);
  }

  /** Undefined while it does not run. */
  get processId(): number | undefined {
    return this._child?.pid;
  }

  get running(): boolean {
    return this._child !== undefined;
  }

  /** Whether it stands still after SIGSTOP. */
  get paused(): boolean {
    return this._isPaused;
  }

  /** Starts it unless it runs. */
  start(): void {
    if (this._child) return;
    const { directory, settings, role, sharedKey, nodeArguments = [], program = MAIN } = this._options;
    const file = path.join(directory, `${this.name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const log = openSync(this.logFile, 'a');
    const child = spawn(process.execPath, [...nodeArguments, program, role], {
      env: { LARKLATCH_CONFIG: file, LARKLATCH_SHARED_KEY: sharedKey },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this._child = child;
    this._expectsExit = false;
    runningChildren.add(child);
    child.once('exit', () => this._onExit(child));
  }

  /** Sends a signal; SIGKILL and SIGTERM are ends that are asked for. */
  signal(name: NodeJS.Signals): void {
    if (!this._child) return;
    if (name === 'SIGKILL' || name === 'SIGTERM') this._expectsExit = true;
    if (name === 'SIGSTOP') this._isPaused = true;
    if (name === 'SIGCONT') this._isPaused = false;
    this._child.kill(name);
  }

  /** Resolves when it has ended. */
  async ended(): Promise<void> {
    const child = this._child;
    if (child) await new Promise<void>((resolve) => child.once('exit', () => resolve()));
  }

  private _onExit(child: ChildProcess): void {
    runningChildren.delete(child);
    if (this._child !== child) return;
    this._child = undefined;
    this._isPaused = false;
    if (!this._expectsExit) this.unexpectedExits++;
  }
}
