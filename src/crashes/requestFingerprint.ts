/** Recognises repeated requests by a digest of their contents, because each retry has a new request id. */
import { createHash } from 'node:crypto';

/** The parts that identify a request. Headers are left out because they may differ between retries. */
export interface RequestParts {
  /** Name of the customer; '' if there is none. */
  customer: string;
  host: string;
  method: string;
  /** Includes the query. */
  path: string;
  body: Buffer | undefined;
}

/** Long enough to rule out collisions, short enough for the name of an object in the store. */
const HEX_DIGITS = 32;
/** Cannot occur in the parts before the body. */
const SEPARATOR = '\0';

/** Returns a digest that reveals none of the customer's data. */
export function requestFingerprint({ customer, host, method, path, body }: RequestParts): string {
  const hash = createHash('sha256');
  for (const part of [customer, host, method, path]) hash.update(part).update(SEPARATOR);
  if (body) hash.update(body);
  return hash.digest('hex').slice(0, HEX_DIGITS);
}
