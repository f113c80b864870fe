/** Crowds at the HTTP port of `larklatch agent`. */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import type { Script } from '../fixtures/crowd.js';
import { CrowdTrial } from '../fixtures/crowdTrial.js';
import { MAX_BODY_BYTES, UNENDED_FIELDS, bodyParts, chunks } from '../fixtures/crowdedEntry.js';
import type { CrowdedFleet, FleetTarget } from '../fixtures/crowdedFleet.js';
import { answerHead, startFleet, stopFleet } from '../fixtures/crowdedFleet.js';

const LONG_ANSWER = answerHead(60 * 1024) + 'x'.repeat(60 * 1024);
const REQUESTS_EACH = 200;

afterEach(stopFleet);

async function play(
  agent: FleetTarget,
  clients: number,
  script: (client: number) => Script,
): Promise<string[]> {
  return await new CrowdTrial(agent).play((crowd) => crowd.connect(agent.address, clients, script));
}

function* requestsAhead({ agent, ledgerHeaders }: CrowdedFleet, client: number): Script {
  for (let index = 0; index < REQUESTS_EACH; index++)
    yield agent.head(`${ledgerHeaders}idempotency-key: ${client}-${index}\r\ncontent-length: 0\r\n\r\n`);
}

test('should keep an agent within memory when clients leave bodies in chunks of one byte without end', async () => {
  const { agent } = await startFleet();
  const problems = await play(agent, 30, function* () {
    yield agent.head('transfer-encoding: chunked\r\n\r\n');
    yield* chunks(80_000, 1);
  });
  expect(problems).toEqual([]);
});

test('should keep an agent within memory when clients stop short of the end of large bodies', async () => {
  const { agent } = await startFleet();
  const problems = await play(agent, 100, function* () {
    yield agent.head(`content-length: ${MAX_BODY_BYTES}\r\n\r\n`);
    yield* bodyParts(MAX_BODY_BYTES - 1, 16 * 1024);
  });
  expect(problems).toEqual([]);
});

test('should keep an agent within memory when clients send requests with new keys ahead', async () => {
  const fleet = await startFleet(({ socket }) => void socket.write(LONG_ANSWER));
  expect(await play(fleet.agent, 60, (client) => requestsAhead(fleet, client))).toEqual([]);
});

test('should keep an agent within memory when clients leave heads of many fields without end', async () => {
  const { agent } = await startFleet();
  expect(await play(agent, 2_500, () => [agent.head(), UNENDED_FIELDS])).toEqual([]);
});

test('should keep an agent within its descriptors when clients connect and send one byte or nothing', async () => {
  const { agent } = await startFleet();
  expect(await play(agent, 1_000, (client) => (client % 2 === 0 ? [] : ['G']))).toEqual([]);
});
