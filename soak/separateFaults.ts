/** The faults that classes of their own apply. */
import type { Random } from '../src/utils/random.js';
import { ClientCrowds } from './clientCrowds.js';
import type { CrowdChecks } from './crowdChecks.js';
import type { FaultKind } from './faultKinds.js';
import type { FleetProcess } from './fleetProcess.js';
import { FrozenBoxes } from './frozenBoxes.js';
import { HarmfulRequests } from './harmfulRequests.js';
import type { LeavingChecks } from './leavingChecks.js';
import { LeavingEntries } from './leavingEntries.js';
import type { PromiseChecks } from './promiseChecks.js';
import type { SoakBox, SoakFleet } from './soakFleet.js';
import type { StreamChecks } from './streamChecks.js';
import { StreamResets } from './streamResets.js';

export interface SeparateFaultsOptions {
  fleet: SoakFleet;
  checks: PromiseChecks;
  leaving: LeavingChecks;
  streams: StreamChecks;
  crowds: CrowdChecks;
  random: Random;
  /** Stops an entry with SIGTERM and starts it again once it has exited. */
  restart: (entry: FleetProcess) => Promise<void>;
  /** Whether the server of a box must not be started again. */
  isDraining: (box: SoakBox) => boolean;
}

/** Applies a fault, for this long if it has no time of its own. */
export type SeparateFault = (milliseconds: number) => Promise<void>;

export function createSeparateFaults(
  options: SeparateFaultsOptions,
): Partial<Record<FaultKind, SeparateFault>> {
  const { fleet, checks, random } = options;
  const harmful = new HarmfulRequests({
    entries: () => fleet.entries.map((entry) => fleet.callerAddress(entry)),
    random,
    onSending: (id) => checks.onSending(id),
  });
  const frozenBoxes = new FrozenBoxes(options);
  const leavingEntries = new LeavingEntries(options);
  const streamResets = new StreamResets(options);
  const clientCrowds = new ClientCrowds(options);
  return {
    'crashing-request': async () => await harmful.sendRepeated(),
    'harmful-part': async () => await harmful.sendWithHarmfulPart(),
    'turn-part-harmful': async () => await harmful.sendWithPartTurningHarmful(),
    'leave-amid-streams': async () => await leavingEntries.run(),
    'slow-amid-leaving': async () => await leavingEntries.runBesideSlowServers(),
    'freeze-amid-load': async () => await frozenBoxes.run(),
    'reset-amid-streams': async (milliseconds) => await streamResets.run(milliseconds),
    'client-crowd': async (milliseconds) => await clientCrowds.run(milliseconds),
  };
}
