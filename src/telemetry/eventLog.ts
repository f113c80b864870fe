/** Structured log lines (JSON) on standard output, with bounded rate and memory. Writing never blocks. */
import sonicBoom from 'sonic-boom';
import { waitAtMost } from '../utils/timers.js';

/** Fields of a log line. Undefined fields are omitted. */
export type EventFields = Record<string, string | number | boolean | readonly unknown[] | undefined>;

/** Which lines are written: `state` writes state lines only, `decision` writes both kinds. */
export type EventLevel = 'off' | 'state' | 'decision';

/** The destination of log lines; tests replace it. */
export interface LineSink {
  write(line: string): void;
  /** Resolves when all lines so far have been written. */
  flush?(): Promise<void>;
}

/** Maximum number of lines that are written per step and second. Further lines are only counted. */
const LINES_PER_SECOND = 100;
const WINDOW_MILLISECONDS = 1_000;
/** Longer texts are cut, since callers may choose them: a request id may take up to 64 KB. */
const MAX_TEXT_CHARACTERS = 2_048;
/** Size of the buffer for a slow reader of standard output; lines are dropped while it is full. */
const BUFFER_BYTES = 256 * 1024;
const STANDARD_OUTPUT = 1;
/** A process that exits waits no longer than this for the reader of its lines. */
const FLUSH_MILLISECONDS = 100;

interface StepBudget {
  windowStart: number;
  written: number;
  dropped: number;
}

/** Returns a sink that writes to standard output and never blocks on its reader. */
export function standardOutputSink(): LineSink {
  const stream = new sonicBoom.SonicBoom({ fd: STANDARD_OUTPUT, sync: false, maxLength: BUFFER_BYTES });
  stream.on('error', () => undefined);
  return {
    write: (line) => void stream.write(line),
    flush: async () => await new Promise((resolve) => stream.flush(() => resolve())),
  };
}

/** Writes the log lines of one process. The `common` fields are added to every line. */
export class EventLog {
  private readonly _sink: LineSink;
  private readonly _level: EventLevel;
  private readonly _common: EventFields;
  private readonly _budgets = new Map<string, StepBudget>();
  private _droppedLines = 0;

  constructor(sink: LineSink, level: EventLevel, common: EventFields = {}) {
    this._sink = sink;
    this._level = level;
    this._common = common;
  }

  /** Lines dropped by the rate limit since the start. */
  get droppedLines(): number {
    return this._droppedLines;
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
    const budget = this._budgetOf(step, now);
    if (budget.written >= LINES_PER_SECOND) {
      budget.dropped++;
      this._droppedLines++;
      return;
    }
    budget.written++;
    const dropped = budget.dropped > 0 ? budget.dropped : undefined;
    budget.dropped = 0;
    const line = { time: now, step, ...this._common, ...fields, dropped };
    this._sink.write(`${JSON.stringify(line, cutLongText)}\n`);
  }

  private _budgetOf(step: string, now: number): StepBudget {
    let budget = this._budgets.get(step);
    if (!budget) {
      budget = { windowStart: now, written: 0, dropped: 0 };
      this._budgets.set(step, budget);
    }
    if (Math.abs(now - budget.windowStart) >= WINDOW_MILLISECONDS) {
      budget.windowStart = now;
      budget.written = 0;
    }
    return budget;
  }
}

function cutLongText(_field: string, value: unknown): unknown {
  if (typeof value !== 'string' || value.length <= MAX_TEXT_CHARACTERS) return value;
  return `${value.slice(0, MAX_TEXT_CHARACTERS)}… (${value.length} characters)`;
}
