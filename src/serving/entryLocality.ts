/** Where an entry's requests may run and which entries its directory may name: joins src/locality with the entry. */
import type { CallerPlace, NamesEntriesOf } from '../locality/directoryRegions.js';
import { entriesNamedTo } from '../locality/directoryRegions.js';
import { RegionMap } from '../locality/regionMap.js';
import type { ServerPermission } from '../locality/serverPermission.js';
import { RegionalPermission } from '../locality/serverPermission.js';
import type { GatewaySettings } from '../settings/gatewaySettings.js';
import type { ConfigurationHolder } from './configurationHolder.js';

export class EntryLocality {
  readonly permission: ServerPermission;
  private readonly _configuration: ConfigurationHolder;
  private readonly _regions: RegionMap;

  constructor(
    settings: Pick<GatewaySettings, 'dataCentre' | 'region' | 'regions'>,
    configuration: ConfigurationHolder,
  ) {
    this._configuration = configuration;
    const { regions, region: ownRegion, dataCentre: ownDataCentre } = settings;
    this._regions = new RegionMap({ regions, ownRegion, ownDataCentre });
    this.permission = new RegionalPermission(this._regions);
  }

  /**
   * Returns which entries a caller of a host may use; undefined while the home regions of the host are unknown, which is
   * before there is a configuration, in a deployment with regions.
   */
  mayNameTo(caller: CallerPlace, host: string): NamesEntriesOf | undefined {
    const { index } = this._configuration;
    if (!index) return this._regions.hasRegions ? undefined : () => true;
    return entriesNamedTo(caller, index.homeRegions(host), this._regions);
  }
}
