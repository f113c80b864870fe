/** Log lines of key=value pairs, written with the `debug` package. */
import createDebug from 'debug';

/** Fields of a log line. Undefined fields are omitted. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Which lines are written: `state` writes changes of state, `decision` also every routing and placement decision. */
export type LogLevel = 'off' | 'state' | 'decision';

/** Writes the log lines of one component of a daemon. */
export class Logger {
  private readonly _state: createDebug.Debugger;
  private readonly _decision: createDebug.Debugger;
  private readonly _common: LogFields;

  /** `component` is a part of the `debug` namespace; the `common` fields are added to every line. */
  constructor(component: string, common: LogFields = {}) {
    this._state = createDebug(`larklatch:${component}:state`);
    this._decision = createDebug(`larklatch:${component}:decision`);
    this._common = common;
  }

  /** Logs a change of state. */
  state(step: string, fields: LogFields = {}): void {
    if (this._state.enabled) this._state(formatLine(step, { ...this._common, ...fields }));
  }

  /** Logs a routing or placement decision and its reason. */
  decision(step: string, fields: LogFields = {}): void {
    if (this._decision.enabled) this._decision(formatLine(step, { ...this._common, ...fields }));
  }
}

/** Enables log lines for the whole process, unless the DEBUG environment variable is set. */
export function enableLogs(level: LogLevel): void {
  if (process.env['DEBUG'] || level === 'off') return;
  createDebug.enable(level === 'state' ? 'larklatch:*:state' : 'larklatch:*');
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
