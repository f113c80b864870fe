/** How an HTTP answer tells where its body ends. */

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
