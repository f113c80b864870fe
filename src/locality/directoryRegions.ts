/** Decides which entries the directory may name to a caller, by the regions of the caller and of the host's routes. */
import type { PermittedRegions } from './permittedRegions.js';
import { permitsRegion } from './permittedRegions.js';
import type { RegionMap } from './regionMap.js';

/** Where a caller is: its region, or '' if it names only its data centre. */
export interface CallerPlace {
  region: string;
  dataCentre: string;
}

/** Whether the entries of a data centre may be named. */
export type NamesEntriesOf = (dataCentre: string) => boolean;

/**
 * Returns whether entries of a data centre may be named to a caller. For a host with home regions, these are the
 * entries in the caller's region or in a home region; an entry whose region is unknown is in neither.
 */
export function entriesNamedTo(
  caller: CallerPlace,
  homeRegions: PermittedRegions,
  regions: RegionMap,
): NamesEntriesOf {
  if (homeRegions === 'any') return () => true;
  const callerRegion = caller.region === '' ? regions.regionOf(caller.dataCentre) : caller.region;
  return (dataCentre) => {
    const region = regions.regionOf(dataCentre);
    return region !== undefined && (region === callerRegion || permitsRegion(homeRegions, region));
  };
}
