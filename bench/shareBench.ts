/** Measures two customers' rollouts at the same time, one with twice the weight of the other. */
import { pause } from '../src/utils/timers.js';
import { LocalFleet } from '../standins/localFleet.js';
import { printLine } from './benchLine.js';

const CHUNK_BYTES = 64 * 1024;
const CHUNKS = 128;
const PERIOD_SECONDS = 16;
const MODEL_BYTES = CHUNK_BYTES * CHUNKS;
const WEIGHTS = { heavy: 2, light: 1 };
/** The shares are read when the heavy rollout has downloaded this fraction of the model from the origin. */
const READ_AT_COPIES = 0.6;

/** Prints the ratio of downloaded bytes of the heavy to the light rollout midway, and the origin copies of both. */
export async function benchShare(): Promise<void> {
  const fleet = await LocalFleet.start({
    dataCentres: ['zagreb', 'split', 'osijek'],
    entriesPerDataCentre: 1,
    modelBoxesPerDataCentre: 8,
    originBytesPerSecond: (4 * MODEL_BYTES) / PERIOD_SECONDS,
    boxBytesPerSecond: (2 * MODEL_BYTES) / PERIOD_SECONDS,
  });
  try {
    await publishRollouts(fleet);
    const share = await measureShare(fleet);
    const conditions =
      '24 boxes, 3 data centres, weights 2 and 1, equal models started together, loopback, one run';
    printLine({ name: 'rollout.originShareByWeight', value: share, unit: 'ratio', baseline: 2, conditions });
    for (const customer of Object.keys(WEIGHTS)) {
      const status = await fleet.untilComplete(customer, 'advisor', 'v1', 90_000);
      const value = status.bytes.origin / MODEL_BYTES;
      printLine({
        name: 'rollout.originCopies.two',
        value,
        unit: 'copies',
        baseline: null,
        conditions: `${customer}; ${conditions}`,
      });
    }
  } finally {
    await fleet.stop();
  }
}

async function publishRollouts(fleet: LocalFleet): Promise<void> {
  const parameters = { boxes: { type: 'boxes' }, weight: { type: 'number', minimum: 0.1, maximum: 10 } };
  const rollout = {
    model: 'advisor',
    version: 'v1',
    boxes: { parameter: 'boxes' },
    weight: { parameter: 'weight' },
    originBudgetCopies: 1.1,
  };
  await fleet.publish('/v1/templates/chat', { parameters, rollout });
  for (const customer of Object.keys(WEIGHTS)) {
    await fleet.addCustomer(customer, `key-${customer}`);
    await fleet.publishVersion({
      customer,
      model: 'advisor',
      version: 'v1',
      chunkBytes: CHUNK_BYTES,
      chunkCount: CHUNKS,
    });
  }
  await Promise.all(
    Object.entries(WEIGHTS).map(([customer, weight]) => {
      const body = { template: 'chat', parameters: { boxes: fleet.modelBoxes(), weight } };
      return fleet.publish(`/v1/configurations/${customer}/advisor`, body);
    }),
  );
}

async function measureShare(fleet: LocalFleet): Promise<number> {
  for (;;) {
    const [heavy, light] = await Promise.all(
      Object.keys(WEIGHTS).map((customer) => fleet.rollout(customer, 'advisor')),
    );
    if (heavy.bytes.origin > READ_AT_COPIES * MODEL_BYTES) return heavy.bytes.origin / light.bytes.origin;
    await pause(50);
  }
}
