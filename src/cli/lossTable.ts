/** `larklatch losses`: how requests ended, second by second and route by route, from the logs of gateways. */
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/** How a request counts; an answered one may have begun late, or have paused for too long midway. */
export type RequestEnd =
  'in-time' | 'late-first' | 'late-midway' | 'refused' | 'failed' | 'cut' | 'caller-gone';

const ENDS: readonly RequestEnd[] = [
  'in-time',
  'late-first',
  'late-midway',
  'refused',
  'failed',
  'cut',
  'caller-gone',
];

/** Requests of one group, such as a second or a route. */
export interface LossRow {
  group: string;
  /** Requests that were sent to more than one server. */
  moved: number;
  ends: Record<RequestEnd, number>;
}

/** What the log says of the end of one request. */
interface EndLine {
  time: number;
  step: string;
  route: string;
  attempts: number;
  milliseconds: number;
  objectiveMilliseconds?: number;
  firstMilliseconds?: number;
  pauseMilliseconds?: number;
}

const STEP_PREFIX = 'request.';
const MILLISECONDS_PER_SECOND = 1_000;

/** Reads log lines, which may stand behind other text; `longestPauseMilliseconds` is what a stream may pause. */
export async function readLosses(input: Readable, longestPauseMilliseconds: number): Promise<LossRow[]> {
  const lines: EndLine[] = [];
  for await (const text of createInterface({ input })) {
    const line = parseLine(text);
    if (line) lines.push(line);
  }
  const firstBeganAt = lines.reduce(
    (first, line) => Math.min(first, beganAt(line)),
    Number.POSITIVE_INFINITY,
  );
  const seconds = new Map<string, LossRow>();
  const routes = new Map<string, LossRow>();
  for (const line of lines) {
    const second = Math.floor((beganAt(line) - firstBeganAt) / MILLISECONDS_PER_SECOND);
    const end = endOf(line, longestPauseMilliseconds);
    count(rowOf(seconds, `second ${second}`), line, end);
    count(rowOf(routes, `route ${line.route}`), line, end);
  }
  return [...sorted(seconds), ...sorted(routes)];
}

/** The rows as text, with a head line. */
export function formatLosses(rows: readonly LossRow[]): string[] {
  const head = ['', ...ENDS, 'moved'];
  const cells = rows.map(({ group, ends, moved }) => [group, ...ENDS.map((end) => ends[end]), moved]);
  const widths = head.map((_name, column) =>
    Math.max(...[head, ...cells].map((row) => String(row[column]).length)),
  );
  return [head, ...cells].map((row) =>
    row.map((cell, column) => String(cell).padStart(widths[column])).join('  '),
  );
}

function parseLine(text: string): EndLine | undefined {
  const start = text.indexOf('{"time"');
  if (start < 0 || !text.includes(`"step":"${STEP_PREFIX}`)) return undefined;
  try {
    const line = JSON.parse(text.slice(start));
    return typeof line.route === 'string' && typeof line.milliseconds === 'number' ? line : undefined;
  } catch {
    return undefined;
  }
}

function beganAt({ time, milliseconds }: EndLine): number {
  return time - milliseconds;
}

function endOf(line: EndLine, longestPauseMilliseconds: number): RequestEnd {
  const outcome = line.step.slice(STEP_PREFIX.length);
  if (outcome !== 'answered') return outcome as RequestEnd;
  const first = line.firstMilliseconds ?? line.milliseconds;
  if (first > (line.objectiveMilliseconds ?? Number.POSITIVE_INFINITY)) return 'late-first';
  return (line.pauseMilliseconds ?? 0) > longestPauseMilliseconds ? 'late-midway' : 'in-time';
}

function rowOf(rows: Map<string, LossRow>, group: string): LossRow {
  let row = rows.get(group);
  if (!row) {
    const ends = Object.fromEntries(ENDS.map((end) => [end, 0])) as Record<RequestEnd, number>;
    row = { group, moved: 0, ends };
    rows.set(group, row);
  }
  return row;
}

function count(row: LossRow, line: EndLine, end: RequestEnd): void {
  row.ends[end]++;
  if (line.attempts > 1) row.moved++;
}

function sorted(rows: ReadonlyMap<string, LossRow>): LossRow[] {
  return [...rows.values()].sort((a, b) => a.group.localeCompare(b.group, 'en', { numeric: true }));
}
