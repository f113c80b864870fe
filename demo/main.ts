/**
 * `npm run demo [-- --faults]`: rolls out a version to a fleet of real processes on loopback while callers send
 * requests. `--faults` also kills an agent and corrupts some of the transferred data.
 */
import { boundSeconds } from './bound.js';
import { Caller } from './caller.js';
import { progressLine } from '../src/cli/rolloutCommand.js';
import { pause } from '../src/utils/timers.js';
import type { PublishedVersion } from '../standins/localFleet.js';
import { LocalFleet } from '../standins/localFleet.js';
import type { Run } from '../standins/runLog.js';

const DATA_CENTRES = ['zagreb', 'split', 'osijek'];
const BOXES_PER_DATA_CENTRE = 8;
const CHUNK_BYTES = 128 * 1024;
const CHUNKS = 160;
const MODEL_BYTES = CHUNK_BYTES * CHUNKS;
/** The time in which the origin can send four copies and each box's link two. */
const PERIOD_SECONDS = 24;
const ORIGIN_BYTES_PER_SECOND = (4 * MODEL_BYTES) / PERIOD_SECONDS;
const BOX_BYTES_PER_SECOND = (2 * MODEL_BYTES) / PERIOD_SECONDS;
const PROGRESS_MILLISECONDS = 250;
const KILL_AFTER_MILLISECONDS = 3_000;
const REQUESTS_AFTER_ROLLOUT_MILLISECONDS = 1_000;

const CUSTOMERS = [
  { name: 'brijuni', apiKey: 'key-of-brijuni', service: 'turns' },
  { name: 'kornati', apiKey: 'key-of-kornati', service: '' },
];

const CHAT_TEMPLATE = {
  parameters: {
    version: { type: 'version' },
    boxes: { type: 'boxes' },
    urgency: { type: 'choice', choices: ['time', 'origin-bytes'], default: 'time' },
  },
  rollout: {
    model: 'advisor',
    version: { parameter: 'version' },
    boxes: { parameter: 'boxes' },
    urgency: { parameter: 'urgency' },
    originBudgetCopies: 1.5,
  },
};
const SERVICE_TEMPLATE = {
  parameters: { boxes: { type: 'boxes' } },
  rollout: { kind: 'plain', model: 'turns', version: '1', boxes: { parameter: 'boxes' } },
};

const withFaults = process.argv.includes('--faults');

/** Publishes a version of each customer's model and a configuration that selects it. */
async function publish(
  fleet: LocalFleet,
  version: string,
  chunkCount: number,
  customers = CUSTOMERS,
): Promise<PublishedVersion[]> {
  const published: PublishedVersion[] = [];
  for (const { name: customer } of customers) {
    published.push(
      await fleet.publishVersion({
        customer,
        model: 'advisor',
        version,
        chunkBytes: CHUNK_BYTES,
        chunkCount,
      }),
    );
    const parameters = { version, boxes: fleet.modelBoxes() };
    await fleet.publish(`/v1/configurations/${customer}/advisor`, { template: 'chat', parameters });
  }
  return published;
}

async function prepare(fleet: LocalFleet): Promise<void> {
  for (const { name, apiKey } of CUSTOMERS) await fleet.addCustomer(name, apiKey);
  await fleet.publish('/v1/templates/chat', CHAT_TEMPLATE);
  await fleet.publish('/v1/templates/service', SERVICE_TEMPLATE);
  const parameters = { boxes: fleet.plainBoxes() };
  await fleet.publish('/v1/configurations/brijuni/turns', { template: 'service', parameters });
  await publish(fleet, 'v1', 8);
  for (const { name } of CUSTOMERS) await fleet.untilComplete(name, 'advisor', 'v1');
  await fleet.untilComplete('brijuni', 'turns', '1');
  await fleet.until('idempotency keys', async () => (await countIdempotencyKeys(fleet)) > 0);
}

async function countIdempotencyKeys(fleet: LocalFleet): Promise<number> {
  const answer = await fetch(`${fleet.entries()[0].httpUrl}/v1/idempotency-keys`, {
    method: 'POST',
    headers: { authorization: `Bearer ${CUSTOMERS[0].apiKey}` },
    body: JSON.stringify({ service: 'turns' }),
  });
  return answer.status === 200 ? ((await answer.json()) as { keys: string[] }).keys.length : 0;
}

function startCallers(fleet: LocalFleet): { callers: Caller[]; ended: Promise<unknown> } {
  const callers = CUSTOMERS.flatMap(({ name: customer, apiKey, service }) =>
    [0, 1, 2].map((offset) => {
      const entryUrls = (): string[] =>
        rotate(
          fleet.entries().map((entry) => entry.httpUrl),
          offset,
        );
      return new Caller({ customer, apiKey, model: 'advisor', entryUrls, service });
    }),
  );
  return { callers, ended: Promise.all(callers.map((caller) => caller.run())) };
}

function rotate(urls: string[], offset: number): string[] {
  return [...urls.slice(offset), ...urls.slice(0, offset)];
}

/** Kills an agent during the rollout. The box list drops it a second later. */
async function injectFaults(fleet: LocalFleet): Promise<void> {
  await pause(KILL_AFTER_MILLISECONDS);
  const killedBox = `${DATA_CENTRES[0]}-model-2`;
  console.log(`killing the agent of ${killedBox}`);
  await fleet.box(killedBox).child.end('SIGKILL');
  await pause(1_000);
  await fleet.removeFromBoxList(killedBox);
}

/** Prints the progress of a rollout until all boxes serve the version. */
async function watchRollout(fleet: LocalFleet, customer: string, version: string): Promise<void> {
  let shown = '';
  await fleet.until(
    `${version} in service`,
    async () => {
      const status = await fleet.rollout(customer, 'advisor');
      const line = progressLine(status);
      if (line !== shown) console.log(line);
      shown = line;
      await pause(PROGRESS_MILLISECONDS);
      return (
        status.phase === 'complete' && status.wantedVersion === version && status.replicas === status.boxes
      );
    },
    90_000,
  );
}

/** Measures the seconds until every live box serves the version, polling more often than the progress lines. */
async function measureTimeToReplicas(fleet: LocalFleet, customer: string, version: string): Promise<number> {
  const start = performance.now();
  await fleet.untilComplete(customer, 'advisor', version, 90_000);
  return (performance.now() - start) / 1000;
}

/** Returns the digests of the version's bytes as the engines of all live boxes loaded them. */
async function readEngineDigests(fleet: LocalFleet, customer: string, version: string): Promise<string[]> {
  const running = fleet
    .modelBoxes()
    .map((name) => fleet.box(name))
    .filter((box) => box.child.running);
  return await Promise.all(
    running.map(async (box) => {
      const state = await fleet.read<{ models: Record<string, { digests: Record<string, string> }> }>(
        `${box.backendUrl}/_state`,
      );
      return state.models[`${customer}/advisor`].digests[version];
    }),
  );
}

/** Counts the runs beyond the first of each idempotency key. */
async function countRepeatedRuns(fleet: LocalFleet): Promise<number> {
  const runs = await Promise.all(
    fleet.plainBoxes().map((name) => fleet.read<Run[]>(`${fleet.box(name).backendUrl}/_runs`)),
  );
  const keys = runs.flat().map((run) => run.idempotencyKey);
  return keys.length - new Set(keys).size;
}

async function main(): Promise<number> {
  const boxes = DATA_CENTRES.length * BOXES_PER_DATA_CENTRE;
  const megabytes = MODEL_BYTES / 1024 / 1024;
  console.log(
    `starting ${boxes} model boxes, 3 service boxes and 6 entries in ${DATA_CENTRES.length} data centres`,
  );
  const fleet = await LocalFleet.start({
    dataCentres: DATA_CENTRES,
    entriesPerDataCentre: 2,
    modelBoxesPerDataCentre: BOXES_PER_DATA_CENTRE,
    plainBoxesPerDataCentre: 1,
    originBytesPerSecond: ORIGIN_BYTES_PER_SECOND,
    boxBytesPerSecond: BOX_BYTES_PER_SECOND,
    corruptingBoxes: withFaults ? [`${DATA_CENTRES[1]}-model-3`] : [],
  });
  try {
    await prepare(fleet);
    if (withFaults) await fleet.setFaults(fleet.originUrl, { corruptShare: 0.01 });
    const { callers, ended } = startCallers(fleet);
    const originBefore = await fleet.originBytes();
    console.log(
      `rolling out v2, ${megabytes} MB, while callers send requests${withFaults ? ', with faults' : ''}`,
    );
    const [published] = await publish(fleet, 'v2', CHUNKS, [CUSTOMERS[0]]);
    const faults = withFaults ? injectFaults(fleet) : Promise.resolve();
    const [seconds] = await Promise.all([
      measureTimeToReplicas(fleet, 'brijuni', 'v2'),
      watchRollout(fleet, 'brijuni', 'v2'),
    ]);
    await faults;
    const originCopies = ((await fleet.originBytes()) - originBefore) / MODEL_BYTES;
    await pause(REQUESTS_AFTER_ROLLOUT_MILLISECONDS);
    callers.forEach((caller) => caller.stop());
    await ended;
    const digests = await readEngineDigests(fleet, 'brijuni', 'v2');
    return printSummary({
      seconds,
      originCopies,
      boxes: digests.length,
      wrongDigests: digests.filter((digest) => digest !== published.blobDigest).length,
      repeated: await countRepeatedRuns(fleet),
      callers,
    });
  } finally {
    await fleet.stop();
  }
}

interface DemoResult {
  seconds: number;
  originCopies: number;
  boxes: number;
  wrongDigests: number;
  repeated: number;
  callers: Caller[];
}

/** Prints the summary and returns the exit code. */
function printSummary({ seconds, originCopies, boxes, wrongDigests, repeated, callers }: DemoResult): number {
  const sum = (read: (caller: Caller) => number): number =>
    callers.reduce((total, caller) => total + read(caller), 0);
  const lost = sum((caller) => caller.tally.lost);
  const wrong = sum((caller) => caller.tally.wrong);
  const bound = boundSeconds({
    modelBytes: MODEL_BYTES,
    boxes,
    originBytesPerSecond: ORIGIN_BYTES_PER_SECOND,
    boxBytesPerSecond: BOX_BYTES_PER_SECOND,
  });
  console.log(`
time to ${boxes} replicas       ${seconds.toFixed(2)} s (${(seconds / bound).toFixed(2)} times the bound of ${bound.toFixed(2)} s)
origin bytes              ${originCopies.toFixed(3)} copies
engines with wrong bytes  ${wrongDigests} of ${boxes}
requests                  ${sum((caller) => caller.tally.sent)} sent, ${sum((caller) => caller.tally.answered)} answered, ${sum((caller) => caller.tally.retried)} sent again
requests lost             ${lost}
wrong answers             ${wrong}
repeated runs             ${repeated}`);
  const passed = lost === 0 && wrong === 0 && wrongDigests === 0 && repeated === 0;
  console.log(passed ? 'passed' : 'FAILED');
  return passed ? 0 : 1;
}

process.exitCode = await main();
