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

for (const [route, customer, evacuated, used] of [
  [[], [], [], ['n1', 'n2', 's1', 'x1']],
  [['north'], [], [], ['n1', 'n2']],
  [[], ['south'], [], ['s1']],
  [['north', 'south'], ['south', 'west'], [], ['s1']],
  [['north'], ['south'], [], []],
  [['west'], [], [], []],
  [[], [], ['n1', 'nowhere'], ['n2', 's1', 'x1']],
  [['north'], [], ['n1'], ['n2']],
  [['north'], [], ['n1', 'n2'], []],
] as const) {
  test(`should use ${used.join()} for homes ${route.join()} of a route and ${customer.join()} of a customer, without ${evacuated.join()}`, () => {
    const evacuations = new Evacuations();
    evacuations.update(evacuated);
    const permission = new RegionalPermission(regions, evacuations);
    const permitted = permittedRegions([route, customer]);
    expect(DATA_CENTRES.filter((name) => permission.permits(name, permitted))).toEqual([...used]);
  });
}

for (const [what, caller, homes, named] of [
  ['a host without homes', { region: 'west', dataCentre: 'w1' }, [], ['n1', 'n2', 's1', 'x1']],
  ['a caller in a home region', { region: 'north', dataCentre: 'n1' }, [['north']], ['n1', 'n2']],
  ['a caller in another region', { region: 'south', dataCentre: 's1' }, [['north']], ['n1', 'n2', 's1']],
  ['a caller that names its data centre only', { region: '', dataCentre: 's1' }, [['west']], ['s1']],
  [
    'a region that differs from that of the data centre',
    { region: 'north', dataCentre: 's1' },
    [['west']],
    ['n1', 'n2'],
  ],
  ['a caller whose region is unknown', { region: '', dataCentre: 'x1' }, [['south']], ['s1']],
  [
    'routes that share a home',
    { region: 'west', dataCentre: '' },
    [['north', 'south'], ['south'], []],
    ['s1'],
  ],
  ['routes that share no home', { region: 'north', dataCentre: 'n1' }, [['north'], ['south']], ['n1', 'n2']],
  ['no entry in any of the regions', { region: 'west', dataCentre: 'w1' }, [['east']], []],
] as const) {
  test(`should name entries of ${named.join()} to ${what}`, () => {
    const mayName = entriesNamedTo(caller, permittedRegions(homes), regions);
    expect(DATA_CENTRES.filter(mayName)).toEqual([...named]);
  });
}

test('should prefer the region of a data centre to the own region, and use the own region without it', () => {
  const conflicting = new RegionMap({ regions: REGIONS, ownDataCentre: 's1', ownRegion: 'north' });
  const alone = new RegionMap({ regions: {}, ownDataCentre: 's1', ownRegion: 'north' });
  expect([conflicting.regionOf('s1'), alone.regionOf('s1'), alone.regionOf('n1')]).toEqual([
    'south',
    'north',
    undefined,
  ]);
  expect(['constructor', '__proto__'].map((name) => alone.regionOf(name))).toEqual([undefined, undefined]);
});

test('should permit no region that any list of home regions excludes', () => {
  const list = fc.array(fc.constantFrom<string>('north', 'south', 'west', ''), { maxLength: 3 });
  fc.assert(
    fc.property(fc.array(list, { maxLength: 4 }), fc.string(), (lists, region) => {
      const permitted = permittedRegions(lists);
      const binding = lists.filter((homes) => homes.length > 0);
      if (permitted === 'any') return binding.length === 0 && regionsText(permitted) === undefined;
      return (
        binding.every((homes) => [...permitted].every((name) => homes.includes(name))) &&
        !permitted.has(`${region}?`)
      );
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
