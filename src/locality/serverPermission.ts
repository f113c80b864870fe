/** Decides whether a request may be sent to a server, by where the server is. */
import type { Evacuations } from './evacuations.js';
import type { PermittedRegions } from './permittedRegions.js';
import { permitsRegion } from './permittedRegions.js';
import type { RegionMap } from './regionMap.js';

/** A place where a request may or may not run. */
export interface ServerPermission {
  /** Whether a request that is limited to `permitted` may be sent to a server in `dataCentre`. */
  permits(dataCentre: string, permitted: PermittedRegions): boolean;
}

/** Permits servers in the permitted regions, except those in evacuated data centres. */
export class RegionalPermission implements ServerPermission {
  private readonly _regions: RegionMap;
  private readonly _evacuations: Evacuations;

  constructor(regions: RegionMap, evacuations: Evacuations) {
    this._regions = regions;
    this._evacuations = evacuations;
  }

  permits(dataCentre: string, permitted: PermittedRegions): boolean {
    if (this._evacuations.has(dataCentre)) return false;
    return permitsRegion(permitted, this._regions.regionOf(dataCentre));
  }
}
