/** What the head of an HTTP answer says of its body, and whether the answer may be passed on. */

/** Header values by lower-case name. */
export type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>;

/**
 * - `length`: the body has a length.
 * - `chunks`: the body comes in chunks, of which the last one ends it.
 * - `connection`: the body ends with its connection.
 * - `unknown`: the body has a transfer coding that this process cannot read.
 */
export type Framing = 'length' | 'chunks' | 'connection' | 'unknown';

export function framingOf(headers: HeaderValues): Framing {
  const coding = headers['transfer-encoding'];
  if (coding !== undefined) return String(coding).toLowerCase() === 'chunked' ? 'chunks' : 'unknown';
  return headers['content-length'] === undefined ? 'connection' : 'length';
}

/** Whether an answer of this status to a request with this method has a body. */
export function hasBody(method: string | undefined, status: number): boolean {
  return status !== 204 && status !== 304 && method !== 'HEAD';
}

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/** Why an answer with this head must not be passed on, although it could be read; undefined if it may be. */
export function headProblem(status: number, headers: HeaderValues): string | undefined {
  if (status < FIRST_FINAL_STATUS || status > LAST_STATUS) return `status ${status}`;
  // The coding belongs to the connection and is not passed on, so the body would not be the server's.
  const isReadable = framingOf(headers) !== 'unknown';
  return isReadable ? undefined : `transfer coding ${String(headers['transfer-encoding'])}`;
}
