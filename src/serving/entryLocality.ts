/** Where an entry's requests may run: joins src/locality with the entry. */
import { RegionMap } from '../locality/regionMap.js';
import type { ServerPermission } from '../locality/serverPermission.js';
import { RegionalPermission } from '../locality/serverPermission.js';
import type { GatewaySettings } from '../settings/gatewaySettings.js';

export class EntryLocality {
  readonly permission: ServerPermission;
  private readonly _regions: RegionMap;

  constructor(settings: Pick<GatewaySettings, 'dataCentre' | 'region' | 'regions'>) {
    const { regions, region: ownRegion, dataCentre: ownDataCentre } = settings;
    this._regions = new RegionMap({ regions, ownRegion, ownDataCentre });
    this.permission = new RegionalPermission(this._regions);
  }
}
