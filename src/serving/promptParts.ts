/** Reads the header in which a caller names the parts of a prompt. Pure functions. */

/** Bounds the work for each request, because callers choose the number of parts. */
const MAX_PARTS = 64;
/** The id in hex, without leading zeros, then the number of tokens. */
const PART = /^\s*0*([0-9a-f]{1,64}):\d+\s*$/i;

/**
 * Returns the ids of the parts that a prompt may share with others: all but the last, which is the request's own.
 * Equal ids are returned once, in one spelling. A header that is not a list of parts has none.
 */
export function sharedPromptParts(header: string | string[] | undefined): string[] {
  if (header === undefined) return [];
  const matches = String(header)
    .split(',')
    .map((part) => PART.exec(part)?.[1]);
  const ids = matches.flatMap((id) => id?.toLowerCase() ?? []);
  return ids.length < matches.length ? [] : [...new Set(ids.slice(0, -1))].slice(0, MAX_PARTS);
}
