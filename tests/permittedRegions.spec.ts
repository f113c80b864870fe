/** Tables of where requests may run and which entries may be named, without a network. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { PlatformRecordReader } from '../platform/records.js';
import { entriesNamedTo } from '../src/locality/directoryRegions.js';
import { Evacuations } from '../src/locality/evacuations.js';
import { permittedRegions, regionsText } from '../src/locality/permittedRegions.js';
import { RegionMap } from '../src/locality/regionMap.js';
import { RegionalPermission } from '../src/locality/serverPermission.js';

const REGIONS = { n1: 'north', n2: 'north', s1: 'south' };
const regions = new RegionMap({ regions: REGIONS, ownDataCentre: 'n1', ownRegion: 'north' });
/** `x1` is a data centre of which no settings say where it is. */
const DATA_CENTRES = ['n1', 'n2', 's1', 'x1'];

function words(text: string): string[] {
  return text.split(' ').filter((word) => word !== '');
}

for (const [route, customer, evacuated, used] of [
  ['', '', '', 'n1 n2 s1 x1'],
  ['north', '', '', 'n1 n2'],
  ['', 'south', '', 's1'],
  ['north south', 'south west', '', 's1'],
  ['north', 'south', '', ''],
  ['west', '', '', ''],
  ['', '', 'n1 nowhere', 'n2 s1 x1'],
  ['north', '', 'n1', 'n2'],
  ['north', '', 'n1 n2', ''],
] as const) {
  test(`should use "${used}" for homes "${route}" of a route and "${customer}" of a customer, without "${evacuated}"`, () => {
    const evacuations = new Evacuations();
    evacuations.update(words(evacuated));
    const permission = new RegionalPermission(regions, evacuations);
    const permitted = permittedRegions([words(route), words(customer)]);
    expect(DATA_CENTRES.filter((name) => permission.permits(name, permitted))).toEqual(words(used));
  });
}

// region and data centre of the caller, home regions of each route of the host, named data centres
for (const [what, region, dataCentre, homes, named] of [
  ['a host without homes', 'west', 'w1', [], 'n1 n2 s1 x1'],
  ['a caller in a home region', 'north', 'n1', ['north'], 'n1 n2'],
  ['a caller in another region', 'south', 's1', ['north'], 'n1 n2 s1'],
  ['a caller that names its data centre only', '', 's1', ['west'], 's1'],
  ['a caller in a region other than that of its data centre', 'north', 's1', ['west'], 'n1 n2'],
  ['a caller whose region is unknown', '', 'x1', ['south'], 's1'],
  ['a host whose routes share a home', 'west', '', ['north south', 'south', ''], 's1'],
  ['a host whose routes share no home', 'north', 'n1', ['north', 'south'], 'n1 n2'],
  ['a caller without entries in any of the regions', 'west', 'w1', ['east'], ''],
] as const) {
  test(`should name entries in "${named}" to ${what}`, () => {
    const permitted = permittedRegions(homes.map(words));
    const mayName = entriesNamedTo({ region, dataCentre }, permitted, regions);
    expect(DATA_CENTRES.filter(mayName)).toEqual(words(named));
  });
}

test('should prefer the region of a data centre to the own region, and use the own region without it', () => {
  const conflicting = new RegionMap({ regions: REGIONS, ownDataCentre: 's1', ownRegion: 'north' });
  const alone = new RegionMap({ regions: {}, ownDataCentre: 's1', ownRegion: 'north' });
  expect([conflicting.regionOf('s1'), alone.regionOf('s1')]).toEqual(['south', 'north']);
  expect(['n1', 'constructor', '__proto__'].filter((name) => alone.regionOf(name))).toEqual([]);
});

test('should permit no region that any list of home regions excludes', () => {
  const list = fc.array(fc.constantFrom<string>('north', 'south', 'west', ''), { maxLength: 3 });
  fc.assert(
    fc.property(fc.array(list, { maxLength: 4 }), (lists) => {
      const permitted = permittedRegions(lists);
      const binding = lists.filter((homes) => homes.length > 0);
      if (permitted === 'any') return binding.length === 0 && regionsText(permitted) === undefined;
      return binding.every((homes) => [...permitted].every((name) => homes.includes(name)));
    }),
    { seed: 20_261_203 },
  );
});

/** Guards against a home region that is dropped, which would let requests run anywhere. */
test('should decode home regions of routes and customers, or refuse the configuration', () => {
  const reader = new PlatformRecordReader();
  fc.assert(
    fc.property(fc.oneof(fc.anything(), fc.array(fc.string())), (homes) => {
      const route = { host: 'h', path_prefix: '/', type: 'idempotent', service: 's', home_regions: homes };
      const tenants = [{ name: 't', api_keys: [], home_regions: homes }];
      const read = reader.configuration('main', { version: 1, routes: [route], services: [], tenants });
      const isList = Array.isArray(homes) && homes.every((name) => typeof name === 'string' && name !== '');
      if (!isList && homes !== undefined && homes !== null) return read.isErr();
      const expected = JSON.stringify(homes ?? []);
      const { routes, customers } = read._unsafeUnwrap();
      return [routes[0], customers[0]].every(({ homeRegions }) => JSON.stringify(homeRegions) === expected);
    }),
    { seed: 20_261_203 },
  );
});
