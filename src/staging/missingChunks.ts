/** Describes the missing chunks of a version for log lines. */

/** A version that is not complete after this long is reported; with free links, a copy takes 3 to 5 s. */
const FIRST_REPORT_MILLISECONDS = 4_000;
const REPORT_INTERVAL_MILLISECONDS = 1_000;
/** Chunks and boxes that a line names at most, so that the line stays short. */
const MAXIMUM_NAMED = 16;

/** Decides when an incomplete version is reported. Times are monotonic milliseconds. */
export class MissingReports {
  private _dueAt: number;

  constructor(startedAt: number) {
    this._dueAt = startedAt + FIRST_REPORT_MILLISECONDS;
  }

  /** Whether a report is due; if so, the next one is due an interval later. */
  isDue(now: number): boolean {
    if (now < this._dueAt) return false;
    this._dueAt = now + REPORT_INTERVAL_MILLISECONDS;
    return true;
  }
}

/** Returns the chunks as ranges, such as `0-3,7`, with at most 16 ranges. */
export function chunkList(chunks: readonly number[]): string {
  const ranges: [number, number][] = [];
  for (const chunk of [...chunks].sort((a, b) => a - b)) {
    const last = ranges.at(-1);
    if (last?.[1] === chunk - 1) last[1] = chunk;
    else ranges.push([chunk, chunk]);
  }
  const named = ranges
    .slice(0, MAXIMUM_NAMED)
    .map(([from, to]) => (from === to ? `${from}` : `${from}-${to}`));
  return named.join(',') + (ranges.length > MAXIMUM_NAMED ? ',…' : '');
}

/** Fields of a log line on missing chunks. */
export interface MissingChunkFields {
  missing: number;
  list: string;
  /** Number of missing chunks that no neighbour holds either. */
  unavailable: number;
  /** The boxes that are to fetch these from the origin, each with its chunks. */
  fetchers: string;
}

/** `fetcherOf` returns the box that is to fetch a chunk from the origin. */
export function missingChunkFields(
  missing: readonly number[],
  unavailable: readonly number[],
  fetcherOf: (chunk: number) => string | undefined,
): MissingChunkFields {
  const byFetcher = new Map<string, number[]>();
  for (const chunk of unavailable) {
    const fetcher = fetcherOf(chunk) ?? 'nobody';
    byFetcher.set(fetcher, [...(byFetcher.get(fetcher) ?? []), chunk]);
  }
  const fetchers = [...byFetcher].slice(0, MAXIMUM_NAMED);
  return {
    missing: missing.length,
    list: chunkList(missing),
    unavailable: unavailable.length,
    fetchers: fetchers.map(([box, chunks]) => `${box}:${chunkList(chunks)}`).join(' '),
  };
}
