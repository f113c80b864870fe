/** Log of the requests that a backend server stand-in ran. Tests compare it with the answers that callers got. */

/** One execution of a request. */
export interface Run {
  requestId: string;
  customer: string;
  idempotencyKey: string;
  version: string;
  content: string;
  /** Start time, in Unix milliseconds. */
  at: number;
}

/** All runs in order of their start. */
export class RunLog {
  readonly runs: Run[] = [];

  add(run: Run): void {
    this.runs.push(run);
  }
}

/** Creates a run from the headers that identify the request. */
export function runFromHeaders(
  headers: Record<string, string | string[] | undefined>,
  version: string,
  content: string,
): Run {
  const text = (name: string): string => String(headers[name] ?? '');
  return {
    requestId: text('larklatch-request-id'),
    customer: text('larklatch-customer'),
    idempotencyKey: text('idempotency-key'),
    version,
    content,
    at: Date.now(),
  };
}
