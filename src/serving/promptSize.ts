/** How large a prompt is, as far as the time to read it is concerned. Pure. */

/** The size where nothing is told, in usual prompts. */
const DEFAULT_SIZE = 1;

/** Size in usual prompts, of `usualTokens` each; `told` holds the tokens of the prompt before a comma. */
export function promptSize(tokensHeader: string | string[] | undefined, usualTokens: number): number {
  const tokens = Number.parseInt(String(tokensHeader ?? ''), 10);
  if (!(tokens > 0) || usualTokens <= 0) return DEFAULT_SIZE;
  return tokens / usualTokens;
}
