/** Where an entry's requests may run and which entries its directory may name: joins src/locality with the entry. */
import type { CallerPlace, NamesEntriesOf } from '../locality/directoryRegions.js';
import { entriesNamedTo } from '../locality/directoryRegions.js';
import { EvacuationFollower } from '../locality/evacuationFollower.js';
import { Evacuations } from '../locality/evacuations.js';
import { RegionMap } from '../locality/regionMap.js';
import type { ServerPermission } from '../locality/serverPermission.js';
import { RegionalPermission } from '../locality/serverPermission.js';
import type { GatewaySettings } from '../settings/gatewaySettings.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { ConfigurationHolder } from './configurationHolder.js';
import type { PlatformFollowers } from './platformFollowers.js';
import type { ServerPool } from './serverPool.js';

export class EntryLocality {
  readonly permission: ServerPermission;
  private readonly _configuration: ConfigurationHolder;
  private readonly _regions: RegionMap;
  private readonly _evacuations = new Evacuations();
  private _follower: EvacuationFollower | undefined;

  constructor(
    settings: Pick<GatewaySettings, 'dataCentre' | 'region' | 'regions'>,
    configuration: ConfigurationHolder,
  ) {
    const { regions, region: ownRegion, dataCentre: ownDataCentre } = settings;
    this._configuration = configuration;
    this._regions = new RegionMap({ regions, ownRegion, ownDataCentre });
    this.permission = new RegionalPermission(this._regions, this._evacuations);
  }

  /** Whether the list of evacuations is known ({@link EvacuationFollower.isKnown}). */
  get knowsEvacuations(): boolean {
    return this._follower?.isKnown ?? false;
  }

  /** Number of evacuated data centres that exist. */
  get evacuatedDataCentres(): number {
    return this._follower?.evacuatedDataCentres ?? 0;
  }

  /** Starts to apply the records of evacuations. */
  follow(followers: PlatformFollowers, pool: ServerPool, clock: Clock, log: EventLog): void {
    this._follower = new EvacuationFollower({
      replica: followers.evacuations,
      evacuations: this._evacuations,
      isNotProvided: () => followers.isWithoutEvacuations,
      source: () => followers.source,
      maxAgeMilliseconds: () => followers.maxListingDelayMilliseconds,
      isKnownDataCentre: (name) =>
        this._regions.regionOf(name) !== undefined ||
        pool.all().some(({ record }) => record.dataCentre === name),
      clock,
      log,
    });
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
