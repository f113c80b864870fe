/**
 * Measures the time from the announcement of a version until boxes have a complete copy and serve it, on fleets whose
 * links are as slow as those of a deployment with narrow links.
 */
import { printLine } from './benchLine.js';
import type { SwitchRunOptions } from './switchFleet.js';
import { measureSwitch } from './switchFleet.js';

const SMALL: SwitchRunOptions = {
  boxes: 13,
  dataCentres: 3,
  chunks: 64,
  chunkBytes: 32_768,
  originKilobits: 5_940,
  boxKilobits: 5_320,
  regionKilobits: 18_000,
  otherTraffic: 0.2,
  versionMilliseconds: 10_300,
  seed: 1,
  throttledBoxes: 0,
  originDownMilliseconds: 0,
};
const LARGE = { ...SMALL, boxes: 36 };
const RUNS: Record<string, SwitchRunOptions> = {
  'nine boxes': { ...SMALL, boxes: 9 },
  '13 boxes': SMALL,
  '36 boxes': LARGE,
  '36 boxes, 6 with throttled links': { ...LARGE, throttledBoxes: 6 },
  '36 boxes, origin down for 2.5 s': { ...LARGE, originDownMilliseconds: 2_500 },
};

/** Prints when the first, half and all of the boxes have a complete copy, and when they serve it. */
export async function benchSwitches(): Promise<void> {
  for (const [conditions, options] of Object.entries(RUNS)) {
    const { whole, serving, originCopies, mostSwitching } = await measureSwitch(options);
    const print = (name: string, value: number, unit: string): void =>
      printLine({ name: `switches.${name}`, value, unit, baseline: null, conditions });
    for (const [part, times] of Object.entries({ whole, serving })) {
      print(`${part}.first`, times[0], 'ms');
      print(`${part}.half`, times[Math.ceil(times.length / 2) - 1], 'ms');
      print(`${part}.all`, times.length < options.boxes ? Infinity : times[times.length - 1], 'ms');
    }
    print('originCopies', originCopies, 'copies');
    print('mostSwitching', mostSwitching, 'boxes');
  }
}
