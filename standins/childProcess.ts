/** One process of a local fleet. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import readline from 'node:readline';

/** How a child is started. */
export interface ChildOptions {
  /** Compiled script, relative to dist/. */
  script: string;
  args: string[];
  environment?: Record<string, string>;
}

const START_TIMEOUT_MILLISECONDS = 20_000;
const root = new URL('../', import.meta.url).pathname;

/** Children that still run; none outlives this process. */
const started = new Set<ChildProcess>();
process.once('exit', () => started.forEach((child) => child.kill('SIGKILL')));
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));

/** A child that prints one JSON line once it listens. */
export class Child {
  /** The parsed first line. */
  readonly ready: Record<string, unknown>;
  private readonly _process: ChildProcess;

  private constructor(child: ChildProcess, ready: Record<string, unknown>) {
    this._process = child;
    this.ready = ready;
  }

  /** Starts a child and waits until it listens. */
  static async start({ script, args: words, environment }: ChildOptions): Promise<Child> {
    const child = spawn(process.execPath, [`${root}${script}`, ...words], {
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

  /** Sends a signal and waits for the end; returns the exit code, or null after a signal. */
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
      () => reject(new Error(`${script} did not listen in time`)),
      START_TIMEOUT_MILLISECONDS,
    );
    child.once('exit', (code) => reject(new Error(`${script} ended with ${code} before it listened`)));
    lines.once('line', (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line) as Record<string, unknown>);
    });
  });
}
