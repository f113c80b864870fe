/** Decides whether a request may be sent to a server, by where the server is. */
import type { PermittedRegions } from './permittedRegions.js';
import { permitsRegion } from './permittedRegions.js';
import type { RegionMap } from './regionMap.js';

/** A place where a request may or may not run. */
export interface ServerPermission {
  /** Whether a request that is limited to `permitted` may be sent to a server in `dataCentre`. */
  permits(dataCentre: string, permitted: PermittedRegions): boolean;
}

/** Permits servers in the permitted regions. */
export class RegionalPermission implements ServerPermission {
  private readonly _regions: RegionMap;

  constructor(regions: RegionMap) {
    this._regions = regions;
  }

  permits(dataCentre: string, permitted: PermittedRegions): boolean {
    return permitsRegion(permitted, this._regions.regionOf(dataCentre));
  }
}
