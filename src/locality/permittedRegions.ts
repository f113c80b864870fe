/** Which regions home regions leave for a request, or for the entries that callers of a host may use. Pure. */

/** Names of the permitted regions; `any` if there are no home regions. */
export type PermittedRegions = ReadonlySet<string> | 'any';

/**
 * Returns the regions that are in all of the lists. An empty list stands for no home regions and restricts nothing.
 * Lists without a common region leave no region at all.
 */
export function permittedRegions(homeRegions: Iterable<readonly string[]>): PermittedRegions {
  let permitted: PermittedRegions = 'any';
  for (const regions of homeRegions) {
    if (regions.length > 0) permitted = intersection(permitted, regions);
  }
  return permitted;
}

/** Whether a place may be used; a place in an unknown region only if there are no home regions. */
export function permitsRegion(permitted: PermittedRegions, region: string | undefined): boolean {
  return permitted === 'any' || (region !== undefined && permitted.has(region));
}

/** Returns the permitted regions for a log line; undefined if there are no home regions. */
export function regionsText(permitted: PermittedRegions): string | undefined {
  return permitted === 'any' ? undefined : [...permitted].sort().join(',');
}

function intersection(permitted: PermittedRegions, regions: readonly string[]): ReadonlySet<string> {
  return new Set(permitted === 'any' ? regions : regions.filter((region) => permitted.has(region)));
}
