/** Structured log lines (JSON) on standard output, with bounded rate and memory. Writing never blocks. */
import { waitAtMost } from '../utils/timers.js';
import { LineBudgets } from './lineBudgets.js';
import type { LineSink } from './lineSink.js';
import { descriptorSink } from './lineSink.js';

/** Fields of a log line. Undefined fields are omitted. */
export type EventFields = Record<string, string | number | boolean | readonly unknown[] | undefined>;

/** Which lines are written: `state` writes state lines only, `decision` writes both kinds. */
export type EventLevel = 'off' | 'state' | 'decision';

/** Longer texts are cut, since callers may choose them: a request id may take up to 64 KB. */
const MAX_TEXT_CHARACTERS = 2_048;
const STANDARD_OUTPUT = 1;
/** A process that exits waits no longer than this for the reader of its lines. */
const FLUSH_MILLISECONDS = 100;

/** Returns a sink that writes to standard output and never blocks on its reader. */
export function standardOutputSink(): LineSink {
  return descriptorSink(STANDARD_OUTPUT);
}

/** Writes the log lines of one process. The `common` fields are added to every line. */
export class EventLog {
  private readonly _sink: LineSink;
  private readonly _level: EventLevel;
  private readonly _common: EventFields;
  private readonly _budgets = new LineBudgets();

  constructor(sink: LineSink, level: EventLevel, common: EventFields = {}) {
    this._sink = sink;
    this._level = level;
    this._common = common;
  }

  /** Lines dropped by the rate limit since the start. */
  get droppedLines(): number {
    return this._budgets.droppedLines;
  }

  /** Logs a change of state, such as a start, a stop, or a dependency that is lost or reachable again. */
  state(step: string, fields: EventFields = {}): void {
    if (this._level !== 'off') this._write(step, fields);
  }

  /** Logs a decision about one request or transfer. */
  decision(step: string, fields: EventFields = {}): void {
    if (this._level === 'decision') this._write(step, fields);
  }

  /** Resolves when the lines so far have been written; must be awaited before the process exits. */
  async flush(): Promise<void> {
    if (this._sink.flush) await waitAtMost(this._sink.flush(), FLUSH_MILLISECONDS);
  }

  private _write(step: string, fields: EventFields): void {
    const now = Date.now();
    const dropped = this._budgets.take(step, now);
    if (dropped === undefined) return;
    const line = { time: now, step, ...this._common, ...fields, dropped: dropped || undefined };
    this._sink.write(`${JSON.stringify(line, cutLongText)}\n`);
  }
}

function cutLongText(_field: string, value: unknown): unknown {
  if (typeof value !== 'string' || value.length <= MAX_TEXT_CHARACTERS) return value;
  return `${value.slice(0, MAX_TEXT_CHARACTERS)}… (${value.length} characters)`;
}
