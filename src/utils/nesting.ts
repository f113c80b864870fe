/** Nesting depth of parsed values. */

/** Whether objects and arrays in `value` are nested more than `levels` deep. */
export function isNestedDeeper(value: unknown, levels: number): boolean {
  let level: unknown[] = [value];
  for (let depth = 0; level.length > 0; depth++) {
    const containers = level.filter((item) => typeof item === 'object' && item !== null);
    if (containers.length > 0 && depth >= levels) return true;
    level = containers.flatMap((item) => Object.values(item as object) as unknown[]);
  }
  return false;
}
