/** Assertions about states that only a bug can produce. */

/** Throws when `condition` is false. `what` describes the condition and appears in the error message. */
export function assert(condition: unknown, what: string): asserts condition {
  if (!condition) throw new Error(`impossible state: ${what}`);
}

/** Fails to compile, and throws, when a switch over a string union misses a case. */
export function assertNever(value: never): never {
  throw new Error(`impossible value: ${JSON.stringify(value)}`);
}
