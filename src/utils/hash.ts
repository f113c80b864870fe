/** Hash functions: SHA-256 for content, MurmurHash for placement. */
import { createHash } from 'node:crypto';
import murmurhash from 'murmurhash';

/** Returns the SHA-256 of `data` in lower-case hex. */
export function sha256Hex(data: Uint8Array | string): string {
  return createHash('sha256').update(data).digest('hex');
}

/** Returns a 32-bit hash of the joined `parts`, for placement decisions. Not cryptographic. */
export function placementHash(...parts: string[]): number {
  return murmurhash.v3(parts.join('\u0000'));
}
