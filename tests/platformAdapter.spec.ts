/** The platform adapter: settings and records. Also checks that the platform's names occur nowhere else. */
import { spawnSync } from 'node:child_process';
import { readFileSync, readdirSync, writeFileSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { expect } from 'earl';
import { PlatformRecordReader } from '../platform/records.js';
import { SettingsError, readGatewaySettings, readStagingSettings } from '../platform/settings.js';

const KEY = 'a key for the tests';
const reader = new PlatformRecordReader();

const COMMON = {
  node_name: 'Edge.North-1',
  ip: '10.1.0.40',
  zone: 'north',
  port_range: [7700, 7715],
  limits: { link_mbps: 6.58 },
  bounds: {
    contact_ms: 3000,
    grace_s: 8,
    retry_ratio: 0.2,
    retry_window_s: 10,
    retry_slack: 100,
    version_ms: 8000,
    ttl_max_s: 5,
  },
  platform: { address: '10.200.1.7:8007' },
  listen: {
    front: '10.1.0.40:8005',
    ready: '10.1.0.40:8002',
    directory: '10.1.0.40:8009',
    control: '10.1.0.40:8000',
  },
  seeds: ['10.2.0.37:8000', '10.3.0.38:8000'],
  app: '10.1.0.40:8001',
  service: 'advisors',
  unknown_field: { is: 'ignored' },
};

function settingsFile(content: unknown): string {
  const file = path.join(mkdtempSync(path.join(tmpdir(), 'settings-')), 'boot.json');
  writeFileSync(file, typeof content === 'string' ? content : JSON.stringify(content));
  return file;
}

function problemsOf(read: () => unknown): readonly string[] {
  try {
    read();
    return [];
  } catch (error) {
    return error instanceof SettingsError ? error.lines : [String(error)];
  }
}

test('should convert the settings file to settings of a gateway', () => {
  const settings = readGatewaySettings(settingsFile(COMMON), KEY);
  expect(settings.box).toEqual('edge-north-1');
  expect(settings.callerAddress).toEqual('10.1.0.40:8005');
  expect(settings.retryPercent).toEqual(20);
  expect(settings.drainMilliseconds).toEqual(8_000);
  expect(settings.agentPort).toEqual(7_700);
  expect(settings.controlAddress).toEqual('10.1.0.40:8000');
  expect(settings.seeds).toEqual(['10.2.0.37:8000', '10.3.0.38:8000']);
});

test('should read the regions of data centres, and follow evacuations only where their bound is set', () => {
  const placed = { region: 'r', zones: { north: 'r' }, bounds: { ...COMMON.bounds, evacuate_ms: 5_000 } };
  const [without, placedSettings] = [COMMON, { ...COMMON, ...placed }].map((content) => {
    const { region, regions, evacuateMilliseconds } = readGatewaySettings(settingsFile(content), KEY);
    return [region, regions, evacuateMilliseconds];
  });
  expect(without).toEqual([undefined, {}, undefined]);
  expect(placedSettings).toEqual(['r', { north: 'r' }, 5_000]);
});

test('should convert the settings file to settings of an agent', () => {
  const settings = readStagingSettings(settingsFile(COMMON), KEY);
  expect([settings.box, settings.linkKilobits, settings.chunkPort]).toEqual(['10-1-0-40', 6_580, 7_701]);
});

for (const [what, content, field] of [
  ['no zone', { ...COMMON, zone: undefined }, 'zone'],
  [
    'a bound that is not a number',
    { ...COMMON, bounds: { ...COMMON.bounds, grace_s: 'x' } },
    'bounds.grace_s',
  ],
  ['no store', { ...COMMON, platform: {} }, 'platform.address'],
  ['no address for callers', { ...COMMON, listen: {} }, 'listen.front'],
  ['a file that is not JSON', '{', 'LARKLATCH_CONFIG'],
  ['a region that is not a name', { ...COMMON, zones: { north: 1 } }, 'zones.north'],
] as const) {
  test(`should name the field in settings with ${what}`, () => {
    const [problem] = problemsOf(() => readGatewaySettings(settingsFile(content), KEY));
    expect(problem.startsWith(`${field}:`)).toEqual(true);
  });
}

test('should name the environment variable if it is not set', () => {
  expect(problemsOf(() => readStagingSettings(undefined, KEY))[0]).toEqual(
    'LARKLATCH_CONFIG: not set; it names the settings file',
  );
});

test('should read a configuration', () => {
  const route = {
    name: 'r',
    host: 'h',
    path_prefix: '/p/',
    type: 'streaming',
    timeout_ms: 6000,
    latency_goal_ms: 400,
    split: [
      { service: 'a', weight: 90 },
      { service: 'b', weight: 10 },
    ],
    max_attempts: 2,
    resumable: true,
  };
  const services = [
    { name: 'a', max_conns: 424 },
    { name: 'o', origin: '1.2.3.4:80', link_mbps: 15 },
  ];
  const tenants = [{ name: 't', api_keys: ['k'], priority: 1 }];
  const read = reader
    .configuration('main', { version: 7, routes: [route], services, tenants })
    .unwrapOr(undefined);
  expect(read?.version).toEqual(7);
  expect(read?.routes[0].kind).toEqual('stream');
  expect(read?.routes[0].targets.map((target) => target.service)).toEqual(['a', 'b']);
  expect(read?.services[1].origin).toEqual({ address: '1.2.3.4:80' });
  expect(read?.customers).toEqual([{ name: 't', keys: ['k'], priority: 1, homeRegions: [] }]);
});

test('should treat a request of an unknown type as not idempotent', () => {
  const route = { host: 'h', path_prefix: '/', type: 'new', service: 'a' };
  const read = reader.configuration('main', { version: 1, routes: [route], services: [] });
  expect(read.unwrapOr(undefined)?.routes[0].kind).toEqual('once');
});

for (const [what, value] of [
  ['nothing', undefined],
  ['no version', { routes: [], services: [] }],
  ['a string', 'x'],
] as const) {
  test(`should reject ${what} as a configuration`, () => {
    expect(reader.configuration('main', value).isErr()).toEqual(true);
  });
}

const SERVER = {
  service: 's',
  address: '1.1.1.1:1',
  zone: 'z',
  version: 'v1',
  slots: 16,
  state: 'ready',
  cold_left_ms: 0,
  seq_no: 4,
  born: 1_700_000_000_000,
};

for (const field of ['service', 'address', 'zone', 'version', 'slots', 'state', 'cold_left_ms', 'seq_no'])
  test(`should reject a backend server without ${field}`, () => {
    expect(reader.server('i-1', { ...SERVER, [field]: undefined }).isErr()).toEqual(true);
  });

for (const [what, changes] of [
  ['an unknown state', { state: 'starting' }],
  ['a service that is not a string', { service: 7 }],
  ['an address without a port', { address: '1.1.1.1' }],
  ['an address with an invalid port', { address: '1.1.1.1:70000' }],
  ['an address with control characters', { address: '1.1.1.1\r\n:80' }],
  ['a negative number of slots', { slots: -1 }],
  ['an excessive number of slots', { slots: 1e300 }],
  ['slots that are not a number', { slots: '16' }],
  ['a start time with a fraction of a millisecond', { born: 1.5 }],
  ['a start time that is not a number', { born: '1700000000000' }],
  ['a negative start time', { born: -1 }],
  ['models that are not a list', { models: { name: 'm', version: 1 } }],
  ['a model version that is not an integer', { models: [{ name: 'm', version: 1.5 }] }],
] as const) {
  test(`should reject a backend server with ${what}`, () => {
    expect(reader.server('i-1', { ...SERVER, ...changes }).isErr()).toEqual(true);
  });
}

/** Guards against an address that the HTTP client refuses, or takes for another one. */
test('should reject a backend server whose host looks like an IP address and is none', () => {
  const hosts = [
    '999.1.1.1',
    '1.2.3.4.5',
    '1.2.3',
    '010.1.1.1',
    '0x7f.1',
    '123456789012',
    '9'.repeat(400),
    'a..b',
    '.',
  ];
  const accepted = hosts.filter((host) => reader.server('i-1', { ...SERVER, address: `${host}:80` }).isOk());
  expect(accepted).toEqual([]);
});

test('should reject a backend server whose id is not valid in a header', () => {
  for (const id of ['', 'a b', 'a\r\nx-tenant: other', 'é'])
    expect(reader.server(id, SERVER).isErr()).toEqual(true);
});

test('should read a backend server without a start time', () => {
  expect(reader.server('i-1', { ...SERVER, born: undefined }).unwrapOr(undefined)?.startedAt).toEqual(0);
});

test('should read a target version only under the name of its model', () => {
  expect(reader.version('m', { model: 'm', version: 3 }).unwrapOr(undefined)).toEqual({
    model: 'm',
    version: 3,
  });
  for (const [name, value] of [
    ['other', { model: 'm', version: 3 }],
    ['m', { model: 'm', version: -3 }],
    ['m', { model: 'm', version: 1e300 }],
    ['m', { model: 'm' }],
    ['m', undefined],
  ] as const)
    expect(reader.version(name, value).isErr()).toEqual(true);
});

test('should read a backend server', () => {
  expect(reader.server('i-1', { ...SERVER, state: 'draining' }).unwrapOr(undefined)).toEqual({
    id: 'i-1',
    startedAt: 1_700_000_000_000,
    service: 's',
    address: '1.1.1.1:1',
    dataCentre: 'z',
    slots: 16,
    draining: true,
    models: [],
    ordersTaken: 4,
  });
});

const PLATFORM_NAMES =
  /x-(attempt-id|server-seal|target-instance|not-executed|weight-versions|prefix-hash|token-usage|deadline-ms)|latency_goal_ms|path_prefix|non_idempotent|LARKLATCH_CONFIG|port_range|stage-(put|get)|seq_no|api_keys/i;

test("should use the platform's names only in the adapter", () => {
  const sources = readdirSync('src', { recursive: true, encoding: 'utf8' }).filter((file) =>
    file.endsWith('.ts'),
  );
  const offenders = sources.filter((file) =>
    PLATFORM_NAMES.test(readFileSync(path.join('src', file), 'utf8')),
  );
  expect(offenders).toEqual([]);
});

for (const [what, args, problem] of [
  ['no settings file', ['entry'], 'LARKLATCH_CONFIG: not set'],
  ['no such role', ['other'], 'role: got other; allowed: entry, agent'],
] as const) {
  test(`should end with exit code 2 and one line, given ${what}`, () => {
    const result = spawnSync(process.execPath, ['dist/platform/main.js', ...args], {
      env: { LARKLATCH_SHARED_KEY: KEY },
      encoding: 'utf8',
    });
    expect(result.status).toEqual(2);
    expect(result.stderr.trim().startsWith(`larklatch: ${problem}`)).toEqual(true);
    expect(result.stderr.trim().split('\n').length).toEqual(1);
  });
}
