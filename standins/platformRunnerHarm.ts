/** Requests that crash the runner stand-in which runs them. */

/** A request whose body starts with this crashes its runner. */
export const CRASH_BODY = '{"prompt":"ends its runner';
/** A request with a shared part of its prompt whose id starts with this crashes its runner. */
export const CRASH_PART = 'dead';

/** The same for a part that crashes its runner only from a time on, which its id names. */
const LATER_CRASH_PART = 'deaf';
const TIME_HEX_DIGITS = 12;

/** Returns the id of a part that crashes its runner from a time on, in Unix milliseconds. */
export function partHarmfulFrom(time: number, suffix: string): string {
  return `${LATER_CRASH_PART}${time.toString(16).padStart(TIME_HEX_DIGITS, '0')}${suffix}`;
}

/** Returns what in a request crashes the runner: its body, or a shared part of its prompt; undefined if nothing does. */
export function harmIn(body: string, promptParts: string): string | undefined {
  if (body.startsWith(CRASH_BODY)) return body;
  return promptParts.split(',').slice(0, -1).find(isHarmfulPart);
}

function isHarmfulPart(part: string): boolean {
  if (!part.startsWith(LATER_CRASH_PART)) return part.startsWith(CRASH_PART);
  const digits = part.slice(LATER_CRASH_PART.length, LATER_CRASH_PART.length + TIME_HEX_DIGITS);
  return Date.now() >= Number.parseInt(digits, 16);
}
