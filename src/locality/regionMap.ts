/** The region of each data centre, from the settings of an entry. */

export interface RegionMapOptions {
  /** Region of each data centre. */
  regions: Readonly<Record<string, string>>;
  ownDataCentre: string;
  /** Region of the own data centre, used if `regions` does not contain it. */
  ownRegion: string | undefined;
}

export class RegionMap {
  private readonly _regions: Map<string, string>;

  constructor({ regions, ownDataCentre, ownRegion }: RegionMapOptions) {
    this._regions = new Map(Object.entries(regions).filter(([, region]) => region !== ''));
    if (ownRegion && !this._regions.has(ownDataCentre)) this._regions.set(ownDataCentre, ownRegion);
  }

  /** Whether the settings contain any region. */
  get hasRegions(): boolean {
    return this._regions.size > 0;
  }

  /** Returns the region of a data centre, undefined if it is unknown. */
  regionOf(dataCentre: string): string | undefined {
    return this._regions.get(dataCentre);
  }
}
