/** Which chunks a box fetches from the origin after an outage. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { OriginRange } from '../src/external/origin.js';
import { sha256Hex } from '../src/utils/hash.js';
import { SeededRandom } from '../src/utils/random.js';
import { RateLimiter } from '../src/utils/rateLimiter.js';
import { Logger } from '../src/telemetry/logger.js';
import { ManifestIndex } from '../src/weights/manifestIndex.js';
import { ORIGIN_RETRY_BACKOFF, OriginFetcher } from '../src/weights/originFetcher.js';
import { until } from './fixtures/until.js';

const CHUNK = Buffer.from('chunk');
const CHUNKS = 4;

/** An origin that is down until the test sets `isDown` to false, and a fetcher that reads from it. */
class OriginOutage {
  readonly stored: number[] = [];
  isDown = true;
  readonly fetcher: OriginFetcher;
  private readonly _ended = new AbortController();

  constructor() {
    const chunks = Array.from({ length: CHUNKS }, () => ({ digest: sha256Hex(CHUNK), size: CHUNK.length }));
    this.fetcher = new OriginFetcher({
      customer: '',
      index: new ManifestIndex({ model: 'm', version: '1', chunks }),
      origin: {
        manifest: async () => ({ model: 'm', version: '1', chunks }),
        read: async (range) => this._read(range),
      },
      bounds: {
        stallMilliseconds: 1_000,
        incoming: new RateLimiter(0),
        fetchesAtOnce: 1,
        importStepMilliseconds: 1,
      },
      counts: { originBytes: 0, peerBytes: 0, crossDataCentreBytes: 0, corruptChunks: 0, overdueChunks: 0 },
      random: new SeededRandom(1),
      logger: new Logger('test'),
      signal: this._ended.signal,
      hasReservedMemory: () => true,
      isHeld: (chunk) => this.stored.includes(chunk),
      isInFlight: () => false,
      markInFlight: () => () => undefined,
      store: (chunk) => void this.stored.push(chunk),
      onChange: () => undefined,
    });
  }

  end(): void {
    this._ended.abort();
  }

  private async _read(_range: OriginRange): Promise<AsyncIterable<Buffer>> {
    if (this.isDown) throw new Error('origin is down');
    return (async function* () {
      yield CHUNK;
    })();
  }
}

test('should fetch after an outage only the chunks that are still assigned to it or urgent', async () => {
  const outage = new OriginOutage();
  outage.fetcher.grant([0, 1, 2]);
  outage.fetcher.grant([3], true);
  outage.fetcher.keepOnly([2]);
  outage.isDown = false;
  await until(() => outage.fetcher.open.length === 0);
  expect([...outage.stored].sort()).toEqual([2, 3]);
  outage.end();
});

test('should retry an unreachable origin within half a second', () => {
  expect(ORIGIN_RETRY_BACKOFF.longestMilliseconds).toBeLessThan(500);
});
