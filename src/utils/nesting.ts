/** How deep a parsed value is nested. */

/** Whether `value` holds objects or arrays within each other more than `levels` deep. */
export function isNestedDeeper(value: unknown, levels: number): boolean {
  let level: unknown[] = [value];
  for (let depth = 0; level.length > 0; depth++) {
    const inner = level.filter((item) => typeof item === 'object' && item !== null);
    if (inner.length > 0 && depth >= levels) return true;
    level = inner.flatMap((item) => Object.values(item as object) as unknown[]);
  }
  return false;
}
