/** Guards against an agent that can't store or recall, after a restart, what an earlier incarnation has confirmed. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { PlatformConfirmations } from '../platform/confirmations.js';
import { ConfirmationMemory } from '../src/staging/confirmationMemory.js';
import { SeededRandom } from '../src/utils/random.js';
import { PlatformStoreStandin } from '../standins/platformStoreStandin.js';
import { quietLog } from './fixtures/quietLog.js';
import { until } from './fixtures/until.js';

const LOAD = { startedAt: 7, revision: 1, version: 2 };

let store: PlatformStoreStandin;
let address: string;

beforeEach(async () => {
  store = new PlatformStoreStandin();
  address = (await store.listen()).replace('http://', '');
});

afterEach(() => store.close());

function memoryOf(box: string, onRecalled: (load: typeof LOAD) => void): ConfirmationMemory {
  const confirmations = new PlatformConfirmations(address, box);
  return new ConfirmationMemory({
    store: confirmations,
    random: new SeededRandom(1),
    log: quietLog(),
    onRecalled,
  });
}

async function storedFor(box: string): Promise<typeof LOAD | undefined> {
  return await new PlatformConfirmations(address, box).read();
}

test('should recall what an earlier incarnation has confirmed, for its own box only', async () => {
  memoryOf('a', () => undefined).remember(LOAD);
  await until(() => store.calls.some((call) => call.startsWith('POST')));
  const recalled: (typeof LOAD)[] = [];
  const memory = memoryOf('a', (load) => recalled.push(load));
  memory.recall();
  await until(() => recalled.length > 0);
  expect(recalled).toEqual([LOAD]);
  expect(await storedFor('b')).toEqual(undefined);
});

test('should replace what an earlier incarnation has stored', async () => {
  memoryOf('a', () => undefined).remember(LOAD);
  await until(() => store.calls.some((call) => call.startsWith('POST')));
  const later = { ...LOAD, revision: 2, version: 3 };
  memoryOf('a', () => undefined).remember(later);
  await until(() => store.calls.some((call) => call.startsWith('PUT')));
  expect(await storedFor('a')).toEqual(later);
});

test('should store the last load when the store answers again', async () => {
  store.faults = { status: 503 };
  const memory = memoryOf('a', () => undefined);
  memory.remember(LOAD);
  memory.remember({ ...LOAD, version: 3 });
  await until(() => store.calls.length >= 2);
  store.faults = {};
  await until(() => store.calls.length >= 3);
  expect((await storedFor('a'))?.version).toEqual(3);
  memory.stop();
});
