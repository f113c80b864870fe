/** Helpers for states that cannot occur unless the code is wrong. */

/** Throws when `condition` is false. `what` names the broken expectation. */
export function assert(condition: unknown, what: string): asserts condition {
  if (!condition) throw new Error(`impossible state: ${what}`);
}

/** Marks the end of an exhaustive switch over a string union. */
export function assertNever(value: never): never {
  throw new Error(`impossible value: ${JSON.stringify(value)}`);
}
