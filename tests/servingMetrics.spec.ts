/** ServingMetrics: the metrics of a gateway. */
import { test } from 'node:test';
import { expect } from 'earl';
import { CountedStore } from '../src/records/countedStore.js';
import type { WatchableStore } from '../src/records/watchableStore.js';
import type { WritableStore } from '../src/records/writableStore.js';
import { ServingMetrics } from '../src/telemetry/servingMetrics.js';

const NEVER = new AbortController().signal;

test('should report request times and load ages by service', () => {
  const metrics = new ServingMetrics();
  metrics.recordRequest('a', 'answered', 100);
  metrics.recordLoadAge('a', 250);
  metrics.recordLoadAge('b', 30);
  const text = metrics.exposition();
  expect(text).toInclude('larklatch_requests_total{service="a",outcome="answered"} 1');
  expect(text).toInclude('larklatch_request_milliseconds{service="a",quantile="0.5"} 100');
  expect(text).toInclude('larklatch_load_age_milliseconds{service="a",quantile="0.5"} 250');
  expect(text).toInclude('larklatch_load_age_milliseconds_count{service="b"} 1');
});

test('should count calls to the store, answered or not', async () => {
  const store: WatchableStore & WritableStore = {
    probe: async () => 0,
    list: async () => ({ revision: 1, objects: [] }),
    listStale: async () => ({ revision: 1, objects: [] }),
    watch: async () => await Promise.reject(new Error('lost')),
    put: async () => ({ kind: 'done', revision: 1 }),
    remove: async () => await Promise.reject(new Error('lost')),
  };
  const calls: string[] = [];
  const counted = new CountedStore(store, (call, kind) => void calls.push(`${call} ${kind}`.trim()));
  await counted.probe(1, NEVER);
  expect(await counted.list('servers', NEVER)).toEqual({ revision: 1, objects: [] });
  await counted.listStale('versions', NEVER);
  await expect(counted.watch('servers', 1, 1, NEVER)).toBeRejectedWith('lost');
  const object = { kind: 'own', name: 'a', revision: 0 };
  expect(await counted.put(object, {})).toEqual({ kind: 'done', revision: 1 });
  await expect(counted.remove(object)).toBeRejectedWith('lost');
  const reads = ['probe', 'list servers', 'list-stale versions', 'watch servers'];
  expect(calls).toEqual([...reads, 'put own', 'remove own']);
});
