/**
 * Runs one entry or agent process as the platform does: with a settings file and a role, and its output in a log
 * file.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import path from 'node:path';

export type ProcessRole = 'entry' | 'agent';

/** Options of a process, used for each start of it. */
export interface FleetProcessOptions {
  name: string;
  role: ProcessRole;
  /** Written to the settings file as JSON. */
  settings: unknown;
  /** Directory of the settings file and the log file. */
  directory: string;
  sharedKey: string;
  /** Additional command-line arguments of node. */
  nodeArguments?: readonly string[];
  /** Path of the program. Defaults to the unbundled build in dist. */
  program?: string;
}

const MAIN = new URL('../platform/main.js', import.meta.url).pathname;

/** Running child processes. They are killed when this process exits. */
const runningChildren = new Set<ChildProcess>();
process.once('exit', () => runningChildren.forEach((child) => child.kill('SIGKILL')));
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));

/** A child process that can be signalled and started again. */
export class FleetProcess {
  readonly name: string;
  readonly role: ProcessRole;
  /** Exit code or signal of each exit that was not caused by {@link FleetProcess.signal}. */
  readonly unexpectedExits: (number | NodeJS.Signals)[] = [];
  private readonly _options: FleetProcessOptions;
  private _child: ChildProcess | undefined;
  private _expectsExit = false;
  private _isPaused = false;
  private _terminatedAt: number | undefined;

  constructor(options: FleetProcessOptions) {
    this._options = options;
    this.name = options.name;
    this.role = options.role;
  }

  /** The file that stdout and stderr are appended to. */
  get logFile(): string {
    return path.join(this._options.directory, `${this.name}.log`);
  }

  /** Undefined while the process is not running. */
  get processId(): number | undefined {
    return this._child?.pid;
  }

  get running(): boolean {
    return this._child !== undefined;
  }

  /** Whether it is paused by SIGSTOP. */
  get paused(): boolean {
    return this._isPaused;
  }

  /** Unix milliseconds of the first SIGTERM to the process that is running; undefined before it. */
  get terminatedAt(): number | undefined {
    return this._terminatedAt;
  }

  /** Writes the settings file and starts the process, unless it is running. */
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
    this._terminatedAt = undefined;
    runningChildren.add(child);
    child.once('exit', (code, signal) => this._onExit(child, code ?? signal ?? 0));
  }

  /** Sends a signal. An exit after SIGKILL or SIGTERM counts as expected. */
  signal(name: NodeJS.Signals): void {
    if (!this._child) return;
    if (name === 'SIGKILL' || name === 'SIGTERM') this._expectsExit = true;
    if (name === 'SIGTERM') this._terminatedAt ??= Date.now();
    if (name === 'SIGSTOP') this._isPaused = true;
    if (name === 'SIGCONT') this._isPaused = false;
    this._child.kill(name);
  }

  /** Resolves when the process has exited. */
  async ended(): Promise<void> {
    const child = this._child;
    if (child) await new Promise<void>((resolve) => child.once('exit', () => resolve()));
  }

  private _onExit(child: ChildProcess, how: number | NodeJS.Signals): void {
    runningChildren.delete(child);
    if (this._child !== child) return;
    this._child = undefined;
    this._isPaused = false;
    if (!this._expectsExit) this.unexpectedExits.push(how);
  }
}
