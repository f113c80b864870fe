/** How large a prompt is, as far as the time to read it is concerned. Pure. */

/** The size where nothing is told, in usual prompts. */
const USUAL_SIZE = 1;

/** Size in usual prompts, of `usualTokens` each; `told` holds the tokens of the prompt before a comma. */
export function promptSize(told: string | string[] | undefined, usualTokens: number): number {
  const tokens = Number.parseInt(String(told ?? ''), 10);
  if (!(tokens > 0) || usualTokens <= 0) return USUAL_SIZE;
  return tokens / usualTokens;
}
