/** A configuration as the operator writes it, with routes and bounds like those of the site korrigan-larklatch. */
export const HOST = 'lark.example';
export const MODEL = 'm0';
export const MODEL_SERVICE = 'lark-judges';
export const ALERT_SERVICE = 'table-alerts';
export const LEDGER_SERVICE = 'club-ledger';
/** A service like the alerts, to which a later configuration may move a route. */
export const DESK_SERVICE = 'alert-desk';
export const KEY = 'jnbanfqasnmgkcuyj8pj';
export const STREAM_PATH = '/ruling/draft';
export const PUSH_PATH = '/standings/push';
export const CALL_PATH = '/judge/call';

const ENGINE = {
  slots: 16,
  kv_capacity: 685_000,
  kv_bytes: 327_680,
  link_mbps: 400_000,
  stride: 6,
  models: [{ name: MODEL, pace: 1, load_s: 4, warm_s: 0.3 }],
  size_mb: 297_000,
  step_ms: 7.4,
  per_seq_ms: 0.0387,
  context_per_k: 0.0203,
  read_per_s: 31_900,
  pairs_per_m: 0.733,
  chunk: 2048,
  report_lag_ms: 200,
  usual: { prompt: 973, answer: 106 },
  layers: 16,
  layer_mb: 4540,
  act_bytes: 16_384,
  chunks: 48,
  chunk_bytes: 49_152,
};
const STREAM = { type: 'streaming', timeout_ms: 6000, latency_goal_ms: 402, priority: 1, max_attempts: 2 };
const PUSH = { type: 'non_idempotent', timeout_ms: 1000, latency_goal_ms: 124, priority: 2, max_attempts: 1 };
const CALL = { type: 'idempotent', timeout_ms: 1000, latency_goal_ms: 123, priority: 2, max_attempts: 2 };

/** `callService` is the service of the idempotent route; `keys` are those of the second tenant. */
export function configuration({ version, originAddress, callService = ALERT_SERVICE, keys = [] }) {
  const common = { host: HOST, anonymous: false };
  const resumed = { sticky: true, resumable: true, itl_target_ms: 300 };
  return {
    version,
    routes: [
      { ...common, ...STREAM, ...resumed, name: 'r-ruling', path_prefix: '/ruling/', service: MODEL_SERVICE },
      { ...common, ...PUSH, name: 'r-push', path_prefix: '/standings/', service: ALERT_SERVICE },
      { ...common, ...CALL, name: 'r-call', path_prefix: '/judge/', service: callService },
    ],
    services: [
      {
        name: MODEL_SERVICE,
        health_path: '/healthz',
        max_conns: 194,
        protocol: 'h1',
        tls: false,
        engine: ENGINE,
      },
      { name: ALERT_SERVICE, health_path: '/healthz', max_conns: 49, protocol: 'h1', tls: false },
      { name: DESK_SERVICE, health_path: '/healthz', max_conns: 49, protocol: 'h1', tls: false },
      { name: LEDGER_SERVICE, origin: originAddress, link_mbps: 15, max_conns: 48 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [
      { name: 'bozi300', api_keys: [KEY], priority: 1 },
      { name: 'karo200', api_keys: keys, priority: 1 },
    ],
  };
}
