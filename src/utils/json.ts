/** Parsing of text that may not be JSON. */

/** Returns the parsed value, or undefined when the text is not valid JSON. */
export function parseJson(text: string | Buffer): unknown {
  try {
    return JSON.parse(text.toString());
  } catch {
    return undefined;
  }
}
