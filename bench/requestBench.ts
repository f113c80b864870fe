/** Measures configuration changes, fairness and overload, time to first token during a rollout, and leaving boxes. */
import { pause } from '../src/utils/timers.js';
import { LocalFleet } from '../standins/localFleet.js';
import type { Run } from '../standins/runLog.js';
import { printLine } from './benchLine.js';

const DATA_CENTRES = ['brest', 'vannes', 'rennes'];
const CHUNK_BYTES = 64 * 1024;
const SLOTS = 4;
const TOKENS = 10;
const ENGINE = { slots: SLOTS, firstTokenMilliseconds: 20, tokenMilliseconds: 3 };
const BOXES_PER_DATA_CENTRE = 1;
/** Requests per second that all boxes together can serve. */
const CAPACITY_PER_SECOND =
  (DATA_CENTRES.length * BOXES_PER_DATA_CENTRE * SLOTS * 1000) /
  (ENGINE.firstTokenMilliseconds + TOKENS * ENGINE.tokenMilliseconds);
const CONFIGURATION_CHANGES = 20;
const LOAD_MILLISECONDS = 6_000;
const CONDITIONS = '3 data centres, 3 entries, 3 model boxes of 4 slots, loopback, one run';

interface LoadResult {
  sent: number;
  answered: number;
  /** Milliseconds until the complete answer, sorted. */
  latencies: number[];
  /** Milliseconds until the first byte of the answer, sorted. */
  firstBytes: number[];
}

/** Runs all request benchmarks on one small fleet. */
export async function benchRequests(): Promise<void> {
  const fleet = await LocalFleet.start({
    dataCentres: DATA_CENTRES,
    entriesPerDataCentre: 1,
    modelBoxesPerDataCentre: BOXES_PER_DATA_CENTRE,
    engine: ENGINE,
    agentSettings: { BACKEND_SLOTS: String(SLOTS), WAITING_PER_CUSTOMER: '32' },
    boxBytesPerSecond: 64 * CHUNK_BYTES,
    originBytesPerSecond: 128 * CHUNK_BYTES,
  });
  try {
    await prepare(fleet);
    await benchInForce(fleet);
    await benchFairness(fleet);
    await benchOverload(fleet);
    await benchFirstToken(fleet);
    await benchLeaving(fleet);
  } finally {
    await fleet.stop();
  }
}

async function prepare(fleet: LocalFleet): Promise<void> {
  const parameters = { version: { type: 'version' }, boxes: { type: 'boxes' } };
  const rollout = { model: 'judge', version: { parameter: 'version' }, boxes: { parameter: 'boxes' } };
  await fleet.publish('/v1/templates/chat', { parameters, rollout });
  for (const customer of ['small', 'large']) {
    await fleet.addCustomer(customer, `key-${customer}`);
    await publish(fleet, customer, 'v1', 4);
    await fleet.untilComplete(customer, 'judge', 'v1');
  }
}

async function publish(
  fleet: LocalFleet,
  customer: string,
  version: string,
  chunkCount: number,
): Promise<void> {
  await fleet.publishVersion({ customer, model: 'judge', version, chunkBytes: CHUNK_BYTES, chunkCount });
  const parameters = { version, boxes: fleet.modelBoxes() };
  await fleet.publish(`/v1/configurations/${customer}/judge`, { template: 'chat', parameters });
}

/** Measures the time from the operator's request until every entry answers with the new revision. */
async function benchInForce(fleet: LocalFleet): Promise<void> {
  const seconds: number[] = [];
  for (let change = 0; change < CONFIGURATION_CHANGES; change++) {
    const path = '/v1/customers/changing';
    const start = performance.now();
    const answer = await fleet.sendAsOperator('PUT', path, {
      keyDigests: [String(change % 10).repeat(64)],
    });
    const { revision } = answer.body as { revision: number };
    await fleet.until('in force everywhere', async () => {
      const answers = await Promise.all(
        fleet.entries().map((entry) => fleet.sendAsOperator('GET', path, undefined, entry)),
      );
      return answers.every((each) => each.headers['etag'] === `"${revision}"`);
    });
    seconds.push((performance.now() - start) / 1000);
  }
  const worst = Math.max(...seconds);
  printLine({
    name: 'configuration.inForce.seconds',
    value: worst,
    unit: 'seconds',
    baseline: null,
    conditions: `worst of ${CONFIGURATION_CHANGES} changes; ${CONDITIONS}`,
  });
}

/** Measures a small customer at a tenth of the capacity, alone and beside another customer at the full capacity. */
async function benchFairness(fleet: LocalFleet): Promise<void> {
  const alone = await load(fleet, 'small', CAPACITY_PER_SECOND / 10);
  const [beside] = await Promise.all([
    load(fleet, 'small', CAPACITY_PER_SECOND / 10),
    load(fleet, 'large', CAPACITY_PER_SECOND),
  ]);
  const value = beside.answered / beside.sent / (alone.answered / alone.sent);
  printLine({
    name: 'fairness.smallCustomerGoodputRatio',
    value,
    unit: 'ratio',
    baseline: 1,
    conditions: `small at 0.1 of capacity beside another at 1.0; ${CONDITIONS}`,
  });
  printLine({
    name: 'fairness.smallCustomerLatency95',
    value: quantile(beside.latencies, 0.95),
    unit: 'milliseconds',
    baseline: quantile(alone.latencies, 0.95),
    conditions: `baseline alone; ${CONDITIONS}`,
  });
}

async function benchOverload(fleet: LocalFleet): Promise<void> {
  for (const factor of [2, 10]) {
    const result = await load(fleet, 'large', CAPACITY_PER_SECOND * factor);
    const value = result.answered / (LOAD_MILLISECONDS / 1000) / CAPACITY_PER_SECOND;
    printLine({
      name: `overload.goodputOfCapacity.${factor}x`,
      value,
      unit: 'ratio',
      baseline: null,
      conditions: `capacity ${CAPACITY_PER_SECOND.toFixed(0)} requests/s; ${CONDITIONS}`,
    });
  }
}

/** Measures the time to the first byte during a transfer of weights, with the time before it as the baseline. */
async function benchFirstToken(fleet: LocalFleet): Promise<void> {
  const before = await load(fleet, 'small', CAPACITY_PER_SECOND / 4);
  await publish(fleet, 'small', 'v2', 320);
  const during = await load(fleet, 'small', CAPACITY_PER_SECOND / 4);
  const status = await fleet.rollout('small', 'judge');
  await fleet.untilComplete('small', 'judge', 'v2', 60_000);
  printLine({
    name: 'rollout.firstToken95',
    value: quantile(during.firstBytes, 0.95),
    unit: 'milliseconds',
    baseline: quantile(before.firstBytes, 0.95),
    conditions: `a quarter of capacity, while weights move (phase ${status.phase} at the end); baseline without; ${CONDITIONS}`,
  });
}

/** Measures the time from an agent's SIGTERM until the last request that starts on its backend server. */
async function benchLeaving(fleet: LocalFleet): Promise<void> {
  const box = fleet.box(fleet.modelBoxes()[0]);
  const running = load(fleet, 'small', CAPACITY_PER_SECOND / 3);
  await pause(LOAD_MILLISECONDS / 3);
  const leftAt = Date.now();
  await box.child.end('SIGTERM');
  const result = await running;
  const runs = await fleet.read<Run[]>(`${box.backendUrl}/_runs`);
  const last = Math.max(...runs.map((run) => run.at));
  printLine({
    name: 'leaving.lastNewWork.seconds',
    value: Math.max(0, last - leftAt) / 1000,
    unit: 'seconds',
    baseline: null,
    conditions: `SIGTERM under load; ${CONDITIONS}`,
  });
  printLine({
    name: 'leaving.requestsLost',
    value: result.sent - result.answered,
    unit: 'requests',
    baseline: null,
    conditions: `of ${result.sent}; ${CONDITIONS}`,
  });
}

/** Sends requests at a fixed rate, without retries, spread over the entries. */
async function load(fleet: LocalFleet, customer: string, perSecond: number): Promise<LoadResult> {
  const result: LoadResult = { sent: 0, answered: 0, latencies: [], firstBytes: [] };
  const entries = fleet.entries().map((entry) => entry.httpUrl);
  const start = performance.now();
  const open: Promise<void>[] = [];
  while (performance.now() - start < LOAD_MILLISECONDS) {
    const due = Math.floor(((performance.now() - start) / 1000) * perSecond);
    while (result.sent < due) open.push(sendOne(entries[result.sent++ % entries.length], customer, result));
    await pause(5);
  }
  await Promise.all(open);
  result.latencies.sort((a, b) => a - b);
  result.firstBytes.sort((a, b) => a - b);
  return result;
}

async function sendOne(url: string, customer: string, result: LoadResult): Promise<void> {
  const start = performance.now();
  try {
    const answer = await fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer key-${customer}` },
      body: JSON.stringify({
        model: 'judge',
        stream: true,
        max_tokens: TOKENS,
        messages: [{ role: 'user', content: `${start}` }],
      }),
    });
    const firstByte = performance.now() - start;
    const text = await answer.text();
    if (answer.status !== 200 || !text.endsWith('data: [DONE]\n\n')) return;
    result.answered++;
    result.firstBytes.push(firstByte);
    result.latencies.push(performance.now() - start);
  } catch {
    // The request counts as sent and not answered.
  }
}

function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN;
}
