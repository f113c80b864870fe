/** Gives a server faults in its answers for a while. */
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import type { PlatformRunnerFaults } from '../standins/platformRunnerFaults.js';
import { ODD_ANSWER_ENDS, RUNNER_FAULTS } from '../standins/platformRunnerFaults.js';
import type { FaultKind } from './faultKinds.js';
import type { SoakBox } from './soakFleet.js';

export const DEGRADING_KINDS: readonly FaultKind[] = ['sick-server', 'odd-answer-ends'];

/** Selects the faults that a server has during a fault of this kind. */
export function faultsOf(kind: FaultKind, random: Random): PlatformRunnerFaults {
  return kind === 'odd-answer-ends' ? ODD_ANSWER_ENDS : RUNNER_FAULTS[random.integer(RUNNER_FAULTS.length)];
}

/** Gives the server the faults, and keeps the signals that it sends in its answers. */
export async function degrade(
  { runner }: SoakBox,
  faults: PlatformRunnerFaults,
  milliseconds: number,
): Promise<void> {
  runner.faults = { ...runner.faults, ...faults };
  await pause(milliseconds);
  const cleared = Object.fromEntries(Object.keys(faults).map((fault) => [fault, undefined]));
  runner.faults = { ...runner.faults, ...cleared };
}
