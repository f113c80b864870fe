/** ConditionalWriter: the outcome that it reports for each fault of a write. */
import { test } from 'node:test';
import { expect } from 'earl';
import { Replica } from '../src/configuration/replica.js';
import { ConditionalWriter } from '../src/configuration/conditionalWriter.js';
import type { ConditionalWriteOutcome } from '../src/configuration/conditionalWriter.js';
import { MemoryObjectApi } from './fixtures/memoryObjectApi.js';
import type { WriteFault } from './fixtures/memoryObjectApi.js';

const KEY = 'configuration/studio/advisor';

const WRITE_FAULTS: { fault: WriteFault; outcome: ConditionalWriteOutcome['kind']; stored: boolean }[] = [
  { fault: 'none', outcome: 'written', stored: true },
  { fault: 'refuse', outcome: 'refused', stored: false },
  { fault: 'lose-answer', outcome: 'written', stored: true },
  { fault: 'lose-request', outcome: 'written', stored: true },
  { fault: 'late-effect', outcome: 'written', stored: true },
];

for (const { fault, outcome, stored } of WRITE_FAULTS) {
  test(`should report the outcome of a write with the fault ${fault}`, async () => {
    const api = new MemoryObjectApi();
    const writer = new ConditionalWriter(api, new Replica());
    api.writeFaults = [fault];
    const result = await writer.put(KEY, { changeId: 'a' }, 0);
    expect(result.kind).toEqual(outcome);
    expect((await api.get(KEY)) !== undefined).toEqual(stored);
  });
}

test('should report a conflict when another writer wrote after a lost request', async () => {
  const api = new MemoryObjectApi();
  api.writeFaults = ['lose-request'];
  const outcome = await api.put(KEY, { changeId: 'lost' }, 0);
  expect(outcome.kind).toEqual('unknown');
  await api.put(KEY, { changeId: 'other' }, 0);
  const result = await new ConditionalWriter(api, new Replica()).put(KEY, { changeId: 'mine' }, 0);
  expect(result.kind).toEqual('conflict');
});

test('should not report success when the object api can no longer be read', async () => {
  const api = new MemoryObjectApi();
  api.writeFaults = ['lose-answer'];
  api.readable = false;
  const result = await new ConditionalWriter(api, new Replica()).put(KEY, { changeId: 'a' }, 0);
  expect(result.kind).toEqual('unresolved');
});

test('should report a repeated change with the same change id as written', async () => {
  const api = new MemoryObjectApi();
  const writer = new ConditionalWriter(api, new Replica());
  await writer.put(KEY, { changeId: 'a' }, 0);
  const again = await writer.put(KEY, { changeId: 'a' }, 0);
  expect(again.kind).toEqual('written');
});

test('should resolve a deletion whose answer was lost', async () => {
  const api = new MemoryObjectApi();
  const replica = new Replica();
  const writer = new ConditionalWriter(api, replica);
  const written = await writer.put(KEY, { changeId: 'a' }, 0);
  api.writeFaults = ['lose-answer'];
  const revision = written.kind === 'written' ? written.record.revision : -1;
  expect((await writer.delete(KEY, revision)).kind).toEqual('written');
  expect(replica.value(KEY)).toEqual(undefined);
});
