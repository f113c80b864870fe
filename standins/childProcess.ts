/** Starts and stops the processes of a local fleet. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import readline from 'node:readline';

/** Options for starting a child process. */
export interface ChildOptions {
  /** Path of the compiled script, relative to dist/. */
  script: string;
  args: string[];
  environment?: Record<string, string>;
}

const START_TIMEOUT_MILLISECONDS = 20_000;
const root = new URL('../', import.meta.url).pathname;

/** Running children; they are killed when this process exits. */
const started = new Set<ChildProcess>();
process.once('exit', () => started.forEach((child) => child.kill('SIGKILL')));
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));

/** A child process that prints a line of JSON when it starts to listen. */
export class Child {
  /** The parsed first line of its output. */
  readonly ready: Record<string, unknown>;
  private readonly _process: ChildProcess;

  private constructor(child: ChildProcess, ready: Record<string, unknown>) {
    this._process = child;
    this.ready = ready;
  }

  /** Starts a child process and waits until it listens. */
  static async start({ script, args, environment }: ChildOptions): Promise<Child> {
    const child = spawn(process.execPath, [`${root}${script}`, ...args], {
      stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
      env: { ...process.env, ...environment },
    });
    started.add(child);
    child.once('exit', () => started.delete(child));
    return new Child(child, await firstLine(child, script));
  }

  get processId(): number {
    return this._process.pid!;
  }

  get running(): boolean {
    return this._process.exitCode === null && this._process.signalCode === null;
  }

  signal(name: NodeJS.Signals): void {
    if (this.running) this._process.kill(name);
  }

  /** Sends a signal and waits for the process to exit. Returns the exit code; null if a signal terminated it. */
  async end(name: NodeJS.Signals = 'SIGKILL'): Promise<number | null> {
    if (!this.running) return this._process.exitCode;
    const ended = new Promise<number | null>((resolve) =>
      this._process.once('exit', (code) => resolve(code)),
    );
    this._process.kill(name);
    if (name === 'SIGKILL') this._process.kill('SIGCONT');
    return await ended;
  }
}

async function firstLine(child: ChildProcess, script: string): Promise<Record<string, unknown>> {
  const lines = readline.createInterface({ input: child.stdout! });
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error(`${script} did not start to listen in time`)),
      START_TIMEOUT_MILLISECONDS,
    );
    child.once('exit', (code) => reject(new Error(`${script} exited with code ${code} before it listened`)));
    lines.once('line', (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line) as Record<string, unknown>);
    });
  });
}
