/** The store comes back from an older copy: what was written since is gone, and its revisions are given out again. */
import { afterEach, beforeEach, test } from 'node:test';
import { PlatformStore } from '../platform/store.js';
import { PlatformStoreStandin } from '../standins/platformStoreStandin.js';
import { freePort } from './fixtures/freePort.js';
import { RecordEntry } from './fixtures/recordEntry.js';
import { until } from './fixtures/until.js';

const ENTRIES = 4;
/** More than are written after the store has come back. */
const LOST_WRITES = 20;

let standin: PlatformStoreStandin;
let entries: RecordEntry[] = [];

beforeEach(async () => {
  standin = new PlatformStoreStandin();
  const store = new PlatformStore(new URL(await standin.listen()).host, () => undefined);
  standin.put('config', 'main', 0);
  const ports = await Promise.all(Array.from({ length: ENTRIES }, () => freePort()));
  const ranking = ports.map((port, index) => ({ box: `entry-${index}`, address: `127.0.0.1:${port}` }));
  entries = ranking.map((own) => new RecordEntry(own, [], ranking, store));
  await Promise.all(entries.map(async (entry, index) => await entry.start(ports[index])));
  await until(() => entries.every((entry) => entry.held === 0 && entry.followers.isCurrent));
});

afterEach(() => {
  for (const entry of entries) entry.stop();
  standin.close();
});

test('should take what is written after the store came back from an older copy', async () => {
  const copy = standin.copy();
  for (let value = 1; value <= LOST_WRITES; value++) standin.put('config', 'main', value);
  await until(() => entries.every((entry) => entry.held === LOST_WRITES));
  standin.returnFrom(copy);
  standin.put('config', 'main', 'written after the return');
  await until(() => entries.every((entry) => entry.held === 'written after the return'));
});
