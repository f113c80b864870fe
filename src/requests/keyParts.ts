/** Splits lists of idempotency keys into parts that fit into a message. Pure functions. */

/** Bytes of keys in a message: far below the limit on frames, and sent within a second on a slow link. */
export const KEY_PART_BYTES = 1024 * 1024;
/** Length of the header of an encoded key. */
const KEY_HEADER_BYTES = 5;

/** Returns the keys in parts of at most `maximumBytes`, in their order; at least one part, which may be empty. */
export function splitKeys(keys: readonly string[], maximumBytes = KEY_PART_BYTES): string[][] {
  let part: string[] = [];
  let bytes = 0;
  const parts = [part];
  for (const key of keys) {
    const size = Buffer.byteLength(key) + KEY_HEADER_BYTES;
    if (part.length > 0 && bytes + size > maximumBytes) {
      part = [];
      bytes = 0;
      parts.push(part);
    }
    part.push(key);
    bytes += size;
  }
  return parts;
}
