/** `larklatch losses`: counts from gateway logs how requests ended, by second and by route. */
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/**
 * How a request ended. An answered request is `late-first` when its first byte came after the objective, `late-midway`
 * when its stream paused for too long, and `in-time` otherwise. A refused request is `not-permitted` when no server was
 * where it may run.
 */
export type RequestEnd =
  'in-time' | 'late-first' | 'late-midway' | 'refused' | 'not-permitted' | 'failed' | 'cut' | 'caller-gone';

const ENDS: readonly RequestEnd[] = [
  'in-time',
  'late-first',
  'late-midway',
  'refused',
  'not-permitted',
  'failed',
  'cut',
  'caller-gone',
];

/** Counts of the requests in one group, such as a second or a route. */
export interface LossRow {
  group: string;
  /** Number of requests with more than one attempt. */
  moved: number;
  ends: Record<RequestEnd, number>;
}

/** A parsed log line about the end of a request. */
interface EndLine {
  time: number;
  step: string;
  route: string;
  attempts: number;
  milliseconds: number;
  objectiveMilliseconds?: number;
  firstMilliseconds?: number;
  pauseMilliseconds?: number;
  /** Of a rejected request: why, and its precedence then. */
  noAttempt?: string;
  timeliness?: string;
  rank?: number;
}

/** A reason of `NoAttemptReason` in src/serving. */
const NOT_PERMITTED = 'no permitted server';
const STEP_PREFIX = 'request.';
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Counts the requests in log lines, by second and by route, and the rejected ones by rank, timeliness and reason. Text
 * before the JSON of a line is ignored. A stream that pauses for longer than `longestPauseMilliseconds` is late.
 */
export async function readLosses(input: Readable, longestPauseMilliseconds: number): Promise<LossRow[]> {
  const lines: EndLine[] = [];
  for await (const text of createInterface({ input })) {
    const line = parseLine(text);
    if (line) lines.push(line);
  }
  const firstStart = lines.reduce((first, line) => Math.min(first, startOf(line)), Number.POSITIVE_INFINITY);
  const seconds = new Map<string, LossRow>();
  const routes = new Map<string, LossRow>();
  const rejections = new Map<string, LossRow>();
  for (const line of lines) {
    const second = Math.floor((startOf(line) - firstStart) / MILLISECONDS_PER_SECOND);
    const end = endOf(line, longestPauseMilliseconds);
    addRequest(getOrCreateRow(seconds, `second ${second}`), line, end);
    addRequest(getOrCreateRow(routes, `route ${line.route}`), line, end);
    if (end === 'refused' && line.timeliness !== undefined)
      addRequest(getOrCreateRow(rejections, rejectionGroup(line)), line, end);
  }
  return [...sortRows(seconds), ...sortRows(routes), ...sortRows(rejections)];
}

/** Formats the rows as a text table with a header. */
export function formatLosses(rows: readonly LossRow[]): string[] {
  const header = ['', ...ENDS, 'moved'];
  const cells = rows.map(({ group, ends, moved }) => [group, ...ENDS.map((end) => ends[end]), moved]);
  const widths = header.map((_name, column) =>
    Math.max(...[header, ...cells].map((row) => String(row[column]).length)),
  );
  return [header, ...cells].map((row) =>
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

/** Group of a rejected request. */
function rejectionGroup({ rank = 0, timeliness, noAttempt }: EndLine): string {
  return `rank ${rank} ${timeliness} ${noAttempt ?? ''}`.trim();
}

function startOf({ time, milliseconds }: EndLine): number {
  return time - milliseconds;
}

function endOf(line: EndLine, longestPauseMilliseconds: number): RequestEnd {
  const outcome = line.step.slice(STEP_PREFIX.length);
  if (outcome === 'refused' && line.noAttempt === NOT_PERMITTED) return 'not-permitted';
  if (outcome !== 'answered') return outcome as RequestEnd;
  const first = line.firstMilliseconds ?? line.milliseconds;
  if (first > (line.objectiveMilliseconds ?? Number.POSITIVE_INFINITY)) return 'late-first';
  return (line.pauseMilliseconds ?? 0) > longestPauseMilliseconds ? 'late-midway' : 'in-time';
}

function getOrCreateRow(rows: Map<string, LossRow>, group: string): LossRow {
  let row = rows.get(group);
  if (!row) {
    const ends = Object.fromEntries(ENDS.map((end) => [end, 0])) as Record<RequestEnd, number>;
    row = { group, moved: 0, ends };
    rows.set(group, row);
  }
  return row;
}

function addRequest(row: LossRow, line: EndLine, end: RequestEnd): void {
  row.ends[end]++;
  if (line.attempts > 1) row.moved++;
}

function sortRows(rows: ReadonlyMap<string, LossRow>): LossRow[] {
  return [...rows.values()].sort((a, b) => a.group.localeCompare(b.group, 'en', { numeric: true }));
}
