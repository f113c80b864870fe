/** Reads the sizes of a request: its prompt, and the most that its answer may have. Pure functions. */

/** Size of a prompt whose number of tokens is unknown. */
const DEFAULT_SIZE = 1;

/** Returns the size relative to `meanTokens`. The tokens header begins with the number of prompt tokens. */
export function promptSize(tokensHeader: string | string[] | undefined, meanTokens: number): number {
  const tokens = Number.parseInt(String(tokensHeader ?? ''), 10);
  if (!(tokens > 0) || meanTokens <= 0) return DEFAULT_SIZE;
  return tokens / meanTokens;
}

/** Returns the maximum number of tokens of the answer, the second number of the header; undefined if there is none. */
export function maximumOutputTokens(tokensHeader: string | string[] | undefined): number | undefined {
  const tokens = Number.parseInt(String(tokensHeader ?? '').split(',')[1] ?? '', 10);
  return tokens > 0 ? tokens : undefined;
}
