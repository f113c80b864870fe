/** Estimates the size of a prompt, which determines how long a server takes to read it. Pure functions. */

/** Size of a prompt whose number of tokens is unknown. */
const DEFAULT_SIZE = 1;

/** Returns the size relative to `meanTokens`. The tokens header begins with the number of prompt tokens. */
export function promptSize(tokensHeader: string | string[] | undefined, meanTokens: number): number {
  const tokens = Number.parseInt(String(tokensHeader ?? ''), 10);
  if (!(tokens > 0) || meanTokens <= 0) return DEFAULT_SIZE;
  return tokens / meanTokens;
}
