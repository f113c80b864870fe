/** `larklatch explain REQUEST-ID`: the story of one request from the logs of several processes. */
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/** One log line of the request. */
export interface RequestLogLine {
  /** Milliseconds since the epoch, by the clock of the box that wrote it. */
  time: number;
  step: string;
  box: string;
  /** All other fields. */
  fields: Record<string, unknown>;
}

/** Reads log lines, which may stand behind other text, and returns those of one request in the order of time. */
export async function readRequestLog(input: Readable, request: string): Promise<RequestLogLine[]> {
  const story: RequestLogLine[] = [];
  for await (const line of createInterface({ input })) {
    const parsed = parseLine(line, request);
    if (parsed) story.push(parsed);
  }
  return story.sort((a, b) => a.time - b.time);
}

/** One line of text per log line, with the time since the first. */
export function formatRequestLog(story: readonly RequestLogLine[]): string[] {
  return story.map(({ time, step, box, fields }) => {
    const offset = `+${time - story[0].time} ms`.padStart(10);
    const details = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    return `${offset}  ${box}  ${step}  ${details.join(' ')}`;
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
