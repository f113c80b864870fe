/** Log lines of key=value pairs, written with the `debug` package, with bounded rate and memory. */
import { format } from 'node:util';
import createDebug from 'debug';
import { waitAtMost } from '../utils/timers.js';
import { LineBudgets } from './lineBudgets.js';
import { descriptorSink } from './lineSink.js';

/** Fields of a log line. Undefined fields are omitted. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Which lines are written: `state` writes changes of state, `decision` also every routing and placement decision. */
export type LogLevel = 'off' | 'state' | 'decision';

const STANDARD_ERROR = 2;
/** A process that exits waits no longer than this for the reader of its lines. */
const FLUSH_MILLISECONDS = 100;
const sink = descriptorSink(STANDARD_ERROR);

/** Writes the log lines of one component of a daemon. */
export class Logger {
  private readonly _state: createDebug.Debugger;
  private readonly _decision: createDebug.Debugger;
  private readonly _common: LogFields;
  private readonly _budgets = new LineBudgets();

  /** `component` is a part of the `debug` namespace; the `common` fields are added to every line. */
  constructor(component: string, common: LogFields = {}) {
    this._state = createDebug(`larklatch:${component}:state`);
    this._decision = createDebug(`larklatch:${component}:decision`);
    this._common = common;
  }

  /** Logs a change of state. */
  state(step: string, fields: LogFields = {}): void {
    this._write(this._state, step, fields);
  }

  /** Logs a routing or placement decision and its reason. */
  decision(step: string, fields: LogFields = {}): void {
    this._write(this._decision, step, fields);
  }

  private _write(write: createDebug.Debugger, step: string, fields: LogFields): void {
    if (!write.enabled) return;
    const dropped = this._budgets.take(step, Date.now());
    if (dropped === undefined) return;
    write(formatLine(step, { ...this._common, ...fields, dropped: dropped || undefined }));
  }
}

/** Enables log lines for the whole process, unless the DEBUG environment variable is set. */
export function enableLogs(level: LogLevel): void {
  createDebug.log = (...parts: unknown[]) => sink.write(`${format(...parts)}\n`);
  if (process.env['DEBUG'] || level === 'off') return;
  createDebug.enable(level === 'state' ? 'larklatch:*:state' : 'larklatch:*');
}

/** Resolves when the lines so far have been written; must be awaited before the process exits. */
export async function flushLogs(): Promise<void> {
  await waitAtMost(sink.flush(), FLUSH_MILLISECONDS);
}

function formatLine(step: string, fields: LogFields): string {
  const pairs = Object.entries(fields).filter(([, value]) => value !== undefined);
  return [`step=${step}`, ...pairs.map(([name, value]) => `${name}=${quoteIfNeeded(String(value))}`)].join(
    ' ',
  );
}

function quoteIfNeeded(text: string): string {
  return /[\s"=]/.test(text) ? JSON.stringify(text) : text;
}
