/** Crowds at the HTTP port of `larklatch entry`. */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import type { Script } from '../fixtures/crowd.js';
import { CrowdTrial } from '../fixtures/crowdTrial.js';
import { MAX_BODY_BYTES, UNENDED_FIELDS, bodyParts, chunks } from '../fixtures/crowdedEntry.js';
import type { FleetTarget } from '../fixtures/crowdedFleet.js';
import { startFleet, stopFleet } from '../fixtures/crowdedFleet.js';

const REQUESTS_EACH = 60;
const REQUEST_BYTES = 60 * 1024;

afterEach(stopFleet);

async function play(
  entry: FleetTarget,
  clients: number,
  script: (client: number) => Script,
): Promise<string[]> {
  return await new CrowdTrial(entry).play((crowd) => crowd.connect(entry.address, clients, script));
}

/** Sends requests that must not be repeated, each with a key and a body of its own. */
function* requestsAhead({ head }: FleetTarget, client: number): Script {
  for (let index = 0; index < REQUESTS_EACH; index++) {
    const key = `idempotency-key: ${client}-${index}\r\nlarklatch-repeatable: no\r\n`;
    yield head(`${key}content-length: ${REQUEST_BYTES}\r\n\r\n`);
    yield* bodyParts(REQUEST_BYTES, REQUEST_BYTES);
  }
}

test('should keep an entry within memory when callers leave bodies in chunks of one byte without end', async () => {
  const { entry } = await startFleet();
  const problems = await play(entry, 30, function* () {
    yield entry.head('transfer-encoding: chunked\r\n\r\n');
    yield* chunks(80_000, 1);
  });
  expect(problems).toEqual([]);
});

test('should keep an entry within memory when callers stop short of the end of large bodies', async () => {
  const { entry } = await startFleet();
  const problems = await play(entry, 100, function* () {
    yield entry.head(`content-length: ${MAX_BODY_BYTES}\r\n\r\n`);
    yield* bodyParts(MAX_BODY_BYTES - 1, 16 * 1024);
  });
  expect(problems).toEqual([]);
});

test('should keep an entry within memory when callers send requests with new keys ahead', async () => {
  const { entry } = await startFleet();
  expect(await play(entry, 190, (client) => requestsAhead(entry, client))).toEqual([]);
});

test('should keep an entry within memory when callers leave heads of many fields without end', async () => {
  const { entry } = await startFleet();
  expect(await play(entry, 2_500, () => [entry.head(), UNENDED_FIELDS])).toEqual([]);
});

test('should keep an entry within its descriptors when callers connect and send one byte or nothing', async () => {
  const { entry } = await startFleet();
  expect(await play(entry, 1_000, (client) => (client % 2 === 0 ? [] : ['G']))).toEqual([]);
});
