/** What a request has in common with its next try, which has another id: without it nobody could tell that it came again. */
import { createHash } from 'node:crypto';

/** The parts by which requests are the same; headers that change from try to try are none of them. */
export interface RequestParts {
  /** Name of the customer, '' for none. */
  customer: string;
  host: string;
  method: string;
  /** With the query. */
  path: string;
  body: Buffer | undefined;
}

/** Long enough that no two requests share one by chance, short enough for a name in a store. */
const HEX_DIGITS = 32;
/** Occurs in none of the parts before the body. */
const SEPARATOR = '\0';

/** A digest from which no text of the customer can be read. */
export function requestFingerprint({ customer, host, method, path, body }: RequestParts): string {
  const hash = createHash('sha256');
  for (const part of [customer, host, method, path]) hash.update(part).update(SEPARATOR);
  if (body) hash.update(body);
  return hash.digest('hex').slice(0, HEX_DIGITS);
}
