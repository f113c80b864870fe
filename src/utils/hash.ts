/** Hashes: SHA-256 for content, xxHash for placement. */
import { createHash } from 'node:crypto';
import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/** Returns the SHA-256 of `data` in lower-case hex. */
export function sha256Hex(data: Uint8Array | string): string {
  return createHash('sha256').update(data).digest('hex');
}

/** Returns a 32-bit placement hash of the joined `parts`. Not for security. */
export function placementHash(...parts: string[]): number {
  return xxhash.h32(parts.join('\u0000'));
}
