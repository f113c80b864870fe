/** Log lines as key=value pairs, through `debug` namespaces. */
import createDebug from 'debug';

/** What a line may carry. Undefined fields are left out. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Which lines are written: `state` for changes of state, `decision` adds every routing and placement decision. */
export type LogLevel = 'off' | 'state' | 'decision';

/** Writes the lines of one part of a daemon. */
export class Logger {
  private readonly _state: createDebug.Debugger;
  private readonly _decision: createDebug.Debugger;
  private readonly _common: LogFields;

  /** `common` fields stand on every line. */
  constructor(part: string, common: LogFields = {}) {
    this._state = createDebug(`larklatch:${part}:state`);
    this._decision = createDebug(`larklatch:${part}:decision`);
    this._common = common;
  }

  /** Logs a change of state. */
  state(step: string, fields: LogFields = {}): void {
    if (this._state.enabled) this._state(line(step, { ...this._common, ...fields }));
  }

  /** Logs a routing or placement decision and its reason. */
  decision(step: string, fields: LogFields = {}): void {
    if (this._decision.enabled) this._decision(line(step, { ...this._common, ...fields }));
  }
}

/** Turns log lines on for the whole process; an explicit DEBUG variable wins. */
export function enableLogs(level: LogLevel): void {
  if (process.env['DEBUG'] || level === 'off') return;
  createDebug.enable(level === 'state' ? 'larklatch:*:state' : 'larklatch:*');
}

function line(step: string, fields: LogFields): string {
  const pairs = Object.entries(fields).filter(([, value]) => value !== undefined);
  return [`step=${step}`, ...pairs.map(([name, value]) => `${name}=${quoted(String(value))}`)].join(' ');
}

function quoted(text: string): string {
  return /[\s"=]/.test(text) ? JSON.stringify(text) : text;
}
