/** Reading JSON that may be none. */

/** Returns what the text says, or undefined when it is empty or no JSON. */
export function parseJson(text: string | Buffer): unknown {
  try {
    return JSON.parse(text.toString());
  } catch {
    return undefined;
  }
}
