/** What a backend server stand-in really ran, for audits. */

/** One run of a request. */
export interface Run {
  requestId: string;
  customer: string;
  idempotencyKey: string;
  version: string;
  content: string;
  /** Milliseconds of the wall clock. */
  at: number;
}

/** Counts runs per request and per idempotency key. */
export class RunLog {
  readonly runs: Run[] = [];

  add(run: Run): void {
    this.runs.push(run);
  }
}

/** Reads the identity of a request from the headers that an agent forwards. */
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
