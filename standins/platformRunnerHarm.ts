/** Requests that crash the runner stand-in which runs them. */

/** A request whose body starts with this crashes its runner. */
export const CRASH_BODY = '{"prompt":"ends its runner';
/** A request with a shared part of its prompt whose id starts with this crashes its runner. */
export const CRASH_PART = 'dead';

/** Returns what in a request crashes the runner: its body, or a shared part of its prompt; undefined if nothing does. */
export function harmIn(body: string, promptParts: string): string | undefined {
  if (body.startsWith(CRASH_BODY)) return body;
  return promptParts
    .split(',')
    .slice(0, -1)
    .find((part) => part.startsWith(CRASH_PART));
}
