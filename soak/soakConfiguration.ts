/** The configuration of a soak, in the format of the platform's store. */

export const MODEL_SERVICE = 'chat';
export const PLAIN_SERVICE = 'turns';
export const CUSTOMERS = [
  { name: 'studio-a', api_keys: ['key-a'] },
  { name: 'studio-b', api_keys: ['key-b'] },
];
/** Requests per second that a cold server handles. */
export const COLD_PER_SECOND = 4;
/** Servers are not cold when they start, because planned work must not fail any request. */
const COLD = { cold_start_s: 0, cold_per_s: COLD_PER_SECOND };
export const HOST = 'games.example';
export const MODEL = 'm0';
/** Path prefix of the streams that may take longer than a planned stop. */
export const LONG_PATH = '/long/';
/** Path prefixes of streams of servers without a model, which entries may and may not resume. */
export const RESUMABLE_PATH = '/feed/';
export const UNRESUMABLE_PATH = '/tape/';
/** Host and path prefix of the only route with home regions, and these regions. */
export const HOME_HOST = 'home.example';
export const HOME_PATH = '/home/';
export const HOME_REGIONS: readonly string[] = ['r-south', 'r-west'];

/** Maximum size of the body of a request, unless a soak has another one. */
const SMALL_BODY_BYTES = 100_000;

/** Invalid records, as other writers may leave them in the store. */
export const FOREIGN_VALUES: readonly unknown[] = [
  null,
  'text',
  7,
  {},
  { service: PLAIN_SERVICE, state: 'ready' },
  { service: PLAIN_SERVICE, address: 'nowhere', zone: 'north', slots: 8, state: 'ready', version: 'v1' },
  { model: 'other', version: 1e300 },
];

/**
 * Returns a configuration. `newestPrefix` is the prefix of a route that no earlier version has; `bodyBytes` is the
 * maximum size of the body of a request.
 */
export function soakConfiguration(
  version: number,
  newestPrefix: string,
  originAddress: string,
  bodyBytes = SMALL_BODY_BYTES,
): unknown {
  return {
    version,
    routes: [
      route('/chat/', 'streaming', MODEL_SERVICE, { resumable: true, max_attempts: 2, itl_target_ms: 300 }),
      route(LONG_PATH, 'streaming', MODEL_SERVICE, { resumable: true, max_attempts: 2, timeout_ms: 20_000 }),
      route(RESUMABLE_PATH, 'streaming', PLAIN_SERVICE, { resumable: true, max_attempts: 3 }),
      route(UNRESUMABLE_PATH, 'streaming', PLAIN_SERVICE, { max_attempts: 2 }),
      route('/turns/', 'non_idempotent', PLAIN_SERVICE, { max_attempts: 2 }),
      route('/boards/', 'idempotent', PLAIN_SERVICE, { max_attempts: 2 }),
      route(newestPrefix, 'idempotent', PLAIN_SERVICE, {}),
      route(HOME_PATH, 'idempotent', PLAIN_SERVICE, {
        host: HOME_HOST,
        max_attempts: 2,
        home_regions: HOME_REGIONS,
      }),
    ],
    services: [
      modelService(),
      { name: PLAIN_SERVICE, max_conns: 64, ...COLD },
      { name: 'weights', origin: originAddress, link_mbps: 100, max_conns: 48 },
    ],
    limits: { max_body_bytes: bodyBytes, idle_timeout_ms: 15_000 },
    tenants: CUSTOMERS,
  };
}

function route(prefix: string, type: string, service: string, more: Record<string, unknown>): unknown {
  const common = { timeout_ms: 4000, latency_goal_ms: 400, priority: 1, max_attempts: 1, anonymous: false };
  return { name: `r${prefix}`, host: HOST, path_prefix: prefix, type, service, ...common, ...more };
}

function modelService(): unknown {
  const engine = {
    slots: 8,
    models: [{ name: MODEL }],
    step_ms: 15,
    read_per_s: 31_900,
    usual: { prompt: 500, answer: 6 },
  };
  return { name: MODEL_SERVICE, max_conns: 194, engine, ...COLD };
}
