/** Measures what the control plane costs each daemon, and how that grows with agents, entries and configurations. */
import { pause } from '../src/utils/timers.js';
import { LocalFleet } from '../standins/localFleet.js';
import { printLine } from './benchLine.js';
import type { Usage } from './processUsage.js';
import { meanUsage } from './processUsage.js';

interface FleetShape {
  agents: number;
  entries: number;
  configurations: number;
}

interface MeasuredUsage {
  shape: FleetShape;
  entry: Usage;
  agent: Usage;
}

const DATA_CENTRES = ['zagreb', 'split', 'osijek'];
const COMPLETE_MILLISECONDS = 120_000;
const SETTLE_MILLISECONDS = 10_000;
const MEASURE_MILLISECONDS = 20_000;
const BASE: FleetShape = { agents: 6, entries: 3, configurations: 1 };
const MEASURES: { name: string; unit: string; read: (usage: Usage) => number }[] = [
  { name: 'control.bytesPerSecond', unit: 'bytes/s', read: (usage) => usage.bytesPerSecond },
  { name: 'control.cpuPercent', unit: '% of a core', read: (usage) => usage.cpuPercent },
  { name: 'control.residentMegabytes', unit: 'MB', read: (usage) => usage.residentMegabytes },
];

/** Measures a base fleet, and for each dimension a fleet that is larger in it. */
export async function benchControl(): Promise<void> {
  const base = await measure(BASE);
  for (const { name, unit, read } of MEASURES) {
    for (const role of ['entry', 'agent'] as const) {
      const value = read(base[role]);
      printLine({ name, value, unit, baseline: null, conditions: `${role}, idle; ${describeShape(BASE)}` });
    }
  }
  for (const [dimension, larger] of [
    ['agents', { ...BASE, agents: 30 }],
    ['entries', { ...BASE, entries: 15 }],
    ['configurations', { ...BASE, configurations: 101 }],
  ] as const) {
    printSlopes(dimension, base, await measure(larger));
  }
}

function printSlopes(dimension: keyof FleetShape, base: MeasuredUsage, larger: MeasuredUsage): void {
  const difference = larger.shape[dimension] - base.shape[dimension];
  for (const { name, unit, read } of MEASURES) {
    for (const role of ['entry', 'agent'] as const) {
      const value = (read(larger[role]) - read(base[role])) / difference;
      const conditions = `${role}, slope per ${dimension}; ${describeShape(base.shape)} to ${describeShape(larger.shape)}`;
      printLine({ name, value, unit, baseline: null, conditions });
    }
  }
}

async function measure(shape: FleetShape): Promise<MeasuredUsage> {
  const fleet = await LocalFleet.start({
    dataCentres: DATA_CENTRES,
    entriesPerDataCentre: shape.entries / DATA_CENTRES.length,
    modelBoxesPerDataCentre: 0,
    plainBoxesPerDataCentre: shape.agents / DATA_CENTRES.length,
    entrySettings: { BOX_LIST_MILLISECONDS: '1000' },
  });
  try {
    await fleet.addCustomer('studio', 'key');
    const rollout = { kind: 'plain', model: 'turns', version: '1', boxes: { parameter: 'boxes' } };
    await fleet.publish('/v1/templates/service', { parameters: { boxes: { type: 'boxes' } }, rollout });
    const body = { template: 'service', parameters: { boxes: fleet.plainBoxes().slice(0, 3) } };
    for (let index = 0; index < shape.configurations; index++) {
      await fleet.publish(`/v1/configurations/studio/turns-${index}`, body);
    }
    await fleet.until(
      'all complete',
      async () => {
        const { rollouts } = (await fleet.sendAsOperator('GET', '/v1/rollouts')).body as {
          rollouts: { phase: string }[];
        };
        return (
          rollouts.length === shape.configurations &&
          rollouts.every((rollout) => rollout.phase === 'complete')
        );
      },
      COMPLETE_MILLISECONDS,
    );
    await pause(SETTLE_MILLISECONDS);
    const boxes = [...fleet.boxes.values()];
    const [entry, agent] = await Promise.all([
      meanUsage(
        boxes.filter((box) => box.role === 'entry'),
        MEASURE_MILLISECONDS,
      ),
      meanUsage(
        boxes.filter((box) => box.role === 'agent'),
        MEASURE_MILLISECONDS,
      ),
    ]);
    return { shape, entry, agent };
  } finally {
    await fleet.stop();
  }
}

function describeShape({ agents, entries, configurations }: FleetShape): string {
  return `${agents} agents, ${entries} entries, ${configurations} configurations`;
}
