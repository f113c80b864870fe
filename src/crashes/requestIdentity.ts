/** What a harmful request can be recognised by when it comes again, or when another one like it comes. */
import { placementHash, sha256Hex } from '../utils/hash.js';

/**
 * - `request`: the contents of the request.
 * - `prompt-part`: one part of its prompt, shared by requests that are otherwise unlike.
 * - `prompt-parts`: all shared parts of its prompt, which may be harmful only together.
 */
export type IdentityKind = 'request' | 'prompt-part' | 'prompt-parts';

export interface RequestIdentity {
  kind: IdentityKind;
  /** Unique over all kinds, and suitable as the name of an object in the store. */
  fingerprint: string;
}

/** What the identities of a request are derived from. */
export interface IdentifiedRequest {
  service: string;
  /** Fingerprint of its contents. */
  fingerprint: string;
  /** Ids, in hex, of the parts of its prompt that other requests may share. */
  promptParts: readonly string[];
}

/** Long enough to rule out collisions. */
const HEX_DIGITS = 32;

const PART_PREFIX = 'part-';
const PARTS_PREFIX = 'parts-';

/** Returns the kind of the identity that a fingerprint belongs to. */
export function kindOf(fingerprint: string): IdentityKind {
  if (fingerprint.startsWith(PART_PREFIX)) return 'prompt-part';
  return fingerprint.startsWith(PARTS_PREFIX) ? 'prompt-parts' : 'request';
}

/**
 * Returns all identities of a request, in an order that is the same for all requests. The customer is no part of those
 * of a prompt: what crashes a server does so for every customer.
 */
export function requestIdentities({
  service,
  fingerprint,
  promptParts,
}: IdentifiedRequest): RequestIdentity[] {
  const identities: RequestIdentity[] = [{ kind: 'request', fingerprint }];
  const serviceHash = placementHash(service).toString(16);
  for (const part of promptParts)
    identities.push({ kind: 'prompt-part', fingerprint: `${PART_PREFIX}${part}-${serviceHash}` });
  if (promptParts.length > 1) {
    const digest = sha256Hex([service, ...promptParts].join(',')).slice(0, HEX_DIGITS);
    identities.push({ kind: 'prompt-parts', fingerprint: `${PARTS_PREFIX}${digest}` });
  }
  return identities.sort((one, other) => (one.fingerprint < other.fingerprint ? -1 : 1));
}
