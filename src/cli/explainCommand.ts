/** `larklatch explain REQUEST-ID`: lists the log lines of one request, from the logs of several processes. */
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { rejectionText } from './rejectionText.js';

/** A parsed log line of the request. */
export interface RequestLogLine {
  /** Milliseconds since the Unix epoch, by the clock of the box that wrote the line. */
  time: number;
  step: string;
  box: string;
  /** All other fields, except the request id and the data centre. */
  fields: Record<string, unknown>;
}

/** Returns the log lines of one request, ordered by time. Text before the JSON of a line is ignored. */
export async function readRequestLog(input: Readable, request: string): Promise<RequestLogLine[]> {
  const lines: RequestLogLine[] = [];
  for await (const line of createInterface({ input })) {
    const parsed = parseLine(line, request);
    if (parsed) lines.push(parsed);
  }
  return lines.sort((a, b) => a.time - b.time);
}

/** Formats each log line as text, with the time since the first one. */
export function formatRequestLog(lines: readonly RequestLogLine[]): string[] {
  return lines.map(({ time, step, box, fields }) => {
    const offset = `+${time - lines[0].time} ms`.padStart(10);
    const details = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    const explanation = rejectionText(fields);
    const suffix = explanation === undefined ? '' : `  (${explanation})`;
    return `${offset}  ${box}  ${step}  ${details.join(' ')}${suffix}`;
  });
}

function parseLine(line: string, request: string): RequestLogLine | undefined {
  const start = line.indexOf('{"time"');
  if (start < 0 || !line.includes(request)) return undefined;
  try {
    const { time, step, box, request: id, ...fields } = JSON.parse(line.slice(start));
    delete fields.dataCentre;
    return id === request ? { time, step, box, fields } : undefined;
  } catch {
    return undefined;
  }
}
