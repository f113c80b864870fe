/** Runs a fleet under requests and random faults, and reports broken promises. */
import { SeededRandom } from '../src/utils/random.js';
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import type { Call } from './callerLog.js';
import type { Breach } from './promiseNames.js';
import { PromiseChecks } from './promiseChecks.js';
import { SignalChecks } from './signalChecks.js';
import { SoakCaller } from './soakCaller.js';
import type { FaultKind } from './faultKinds.js';
import { FAULT_KINDS, PLANNED_KINDS } from './faultKinds.js';
import { SoakFaults } from './soakFaults.js';
import type { FleetSize } from './fleetOptions.js';
import { HomeCaller } from './homeCaller.js';
import type { EntryPeak } from './crowdChecks.js';
import { CrowdChecks } from './crowdChecks.js';
import { LeavingChecks } from './leavingChecks.js';
import { LocalityChecks } from './localityChecks.js';
import { StreamChecks } from './streamChecks.js';
import { BOUNDS, CROWD_LIMITS, ZONES } from './soakBounds.js';
import { SoakFleet } from './soakFleet.js';

/** Options of a soak. */
export interface SoakOptions {
  seed: number;
  /** Duration of the phase in which faults are applied. */
  seconds: number;
  size: FleetSize;
  callers: number;
  /** Only planned operations, which must not fail any request. */
  plannedOnly: boolean;
  /** The second octet of its loopback addresses. */
  network: number;
  /** Time from SIGTERM until a process has to be gone. Defaults to that of all soaks. */
  graceSeconds?: number;
  /** Kinds of faults to select from. Defaults to all kinds, or to all planned ones if `plannedOnly`. */
  kinds?: readonly FaultKind[];
  log: (line: string) => void;
}

/** Result of a soak, printed as JSON. */
export interface SoakReport {
  seed: number;
  breaches: readonly Breach[];
  calls: number;
  served: number;
  /** Number of calls by kind, outcome and status. */
  ends: Record<string, number>;
  originBytes: number;
  /** Number of requests that crash servers, the crashes, and the runs of such requests. */
  crashing: { requests: number; crashes: number; runs: number };
  /** Number of requests with home regions that ran there. */
  ranAtHome: number;
  /** Number of requests to leaving entries, by their end. */
  leaving: Readonly<Record<string, number>>;
  /** Number of streams in odd forms, by their end. */
  streams: Readonly<Record<string, number>>;
  /** Number of crowds of clients, by what they send. */
  crowds: Readonly<Record<string, number>>;
  /** Most that each entry used at any time; empty in soaks without crowds. */
  entryPeaks: Readonly<Record<string, EntryPeak>>;
  /** Directory of the processes' settings and logs. */
  directory: string;
}

/** Time within which every entry has to apply a new configuration. */
const CONFIGURATION_MILLISECONDS = 2_000;
const START_MILLISECONDS = 2_500;
/** Maximum number of faults that are active at the same time. */
const MAX_CONCURRENT_FAULTS = 3;
const MEAN_FAULT_INTERVAL_MILLISECONDS = 900;
/** Time after the last fault to reconnect, transfer versions and discover servers. */
const SETTLE_MILLISECONDS = 6_000;
/** Period at the end, after the time to settle, in which requests must be served again. */
const RECOVERED_MILLISECONDS = 2_000;
const MIN_SERVED_SHARE = 0.9;
const CALLER_PAUSE_MILLISECONDS = 60;

/** Runs a soak and stops its fleet. */
export async function soak(options: SoakOptions): Promise<SoakReport> {
  const random = new SeededRandom(options.seed);
  const checks = new PromiseChecks({
    versionMilliseconds: BOUNDS.version_ms,
    drainMilliseconds: BOUNDS.drain_ms,
    configurationMilliseconds: CONFIGURATION_MILLISECONDS,
  });
  const signals = new SignalChecks();
  const locality = new LocalityChecks();
  const leaving = new LeavingChecks(options.graceSeconds);
  const streams = new StreamChecks((promise, what) => checks.onBreach(promise, what));
  const { size, network } = options;
  const crowdLimits = kindsOf(options).includes('client-crowd') ? CROWD_LIMITS : undefined;
  const crowds = new CrowdChecks(crowdLimits);
  const checkers = { checks, signals, leaving, streams, crowds };
  const fleet = new SoakFleet({
    size,
    network,
    graceSeconds: options.graceSeconds,
    crowdLimits,
    random: new SeededRandom(options.seed + 1),
    listener: {
      onExecution: (execution) => {
        checks.onExecution(execution);
        const box = fleet.boxes.find(({ runner }) => runner.id === execution.runner);
        if (box) locality.onExecution(execution, box.zone);
      },
      onEvacuation: (zone) => locality.onEvacuation(zone),
      onCrash: (harm) => checks.onCrash(harm),
      onIncompleteVersion: (runner, version) => checks.onIncompleteVersion(runner, version),
      onArrival: (arrival) => signals.onArrival(arrival),
      onSignals: (sent) => signals.onSignals(sent),
    },
  });
  try {
    await fleet.start();
    for (const entry of fleet.entries) checks.configurations.onEntryStarted(fleet.callerAddress(entry));
    checks.onVersionAnnounced(fleet.weightsVersion);
    await pause(START_MILLISECONDS);
    const faults = new SoakFaults({ fleet, ...checkers, random, log: options.log });
    crowds.watch(fleet.entries);
    return await runWithCallers({ options, fleet, ...checkers, locality, faults, random });
  } finally {
    crowds.unwatch();
    await fleet.stop();
  }
}

/** The parts of a running soak. */
interface RunningSoak {
  options: SoakOptions;
  fleet: SoakFleet;
  checks: PromiseChecks;
  signals: SignalChecks;
  locality: LocalityChecks;
  leaving: LeavingChecks;
  streams: StreamChecks;
  crowds: CrowdChecks;
  faults: SoakFaults;
  random: Random;
}

async function runWithCallers(running: RunningSoak): Promise<SoakReport> {
  const { options, fleet, checks, signals, locality, leaving, crowds, faults, random } = running;
  const callers = [...createCallers(options, fleet, checks), ...createHomeCallers(running)];
  const ended = Promise.all(callers.map((caller) => caller.run()));
  let settledAt: number;
  try {
    await applyFaults(options, faults, random);
    await pause(SETTLE_MILLISECONDS);
    settledAt = Date.now();
    await pause(RECOVERED_MILLISECONDS);
  } finally {
    for (const caller of callers) caller.stop();
    await ended;
  }
  checks.checkRecovery(settledAt, MIN_SERVED_SHARE);
  checks.checkSignals(signals);
  checks.checkLocality(locality);
  checks.checkLeaving(leaving);
  crowds.sample(fleet.entries);
  checks.checkCrowds(crowds);
  if (options.plannedOnly && !crowds.hadAny) checks.checkPlanned((id) => fleet.hasLogged(id));
  for (const { name, unexpectedExits } of [...fleet.entries, ...fleet.agents])
    if (unexpectedExits.length > 0)
      checks.onBreach('ends', `${name} ended unexpectedly: ${unexpectedExits.join(', ')}`);
  return report(running);
}

function createCallers(options: SoakOptions, fleet: SoakFleet, checks: PromiseChecks): SoakCaller[] {
  let ids = 0;
  return Array.from(
    { length: options.callers },
    (_unused, index) =>
      new SoakCaller({
        zone: ZONES[index % ZONES.length],
        directories: fleet.directories(),
        random: new SeededRandom(options.seed * 1_000 + index),
        newId: () => {
          const id = `call-${options.seed}-${ids++}`;
          checks.onSending(id);
          return id;
        },
        onCall: (call: Call) => checks.onCall(call),
        newestRoute: () => fleet.newestRoute,
        pauseMilliseconds: CALLER_PAUSE_MILLISECONDS,
      }),
  );
}

/** Creates a caller of the host with home regions in each data centre. */
function createHomeCallers({ options, fleet, checks, locality }: RunningSoak): HomeCaller[] {
  const entries = fleet.entries.map((entry) => fleet.callerAddress(entry));
  let ids = 0;
  return ZONES.map(
    (zone) =>
      new HomeCaller({
        zone,
        directories: fleet.directories(),
        newId: () => {
          const id = `home-${options.seed}-${ids++}`;
          checks.onSending(id);
          return id;
        },
        onNamed: (entry) => locality.onNamed(fleet.zoneOfEntry(entries.indexOf(entry)), zone),
      }),
  );
}

function kindsOf({ kinds, plannedOnly }: SoakOptions): readonly FaultKind[] {
  return kinds ?? (plannedOnly ? PLANNED_KINDS : FAULT_KINDS);
}

/** Applies random faults for the duration of the soak, and resolves when all of them are over. */
async function applyFaults(options: SoakOptions, faults: SoakFaults, random: Random): Promise<void> {
  const kinds = kindsOf(options);
  const until = Date.now() + options.seconds * 1_000;
  const active = new Set<Promise<void>>();
  const failures: unknown[] = [];
  while (Date.now() < until) {
    if (active.size < MAX_CONCURRENT_FAULTS) {
      const fault = faults
        .apply(kinds[random.integer(kinds.length)])
        .catch((error: unknown) => void failures.push(error))
        .finally(() => active.delete(fault));
      active.add(fault);
    }
    await pause(random.integer(2 * MEAN_FAULT_INTERVAL_MILLISECONDS));
  }
  await Promise.all(active);
  if (failures.length > 0) throw failures[0];
}

function report({ options, fleet, checks, locality, leaving, streams, crowds }: RunningSoak): SoakReport {
  const ends: Record<string, number> = {};
  for (const { kind, outcome, status } of checks.calls) {
    const key = `${kind} ${outcome} ${status}`;
    ends[key] = (ends[key] ?? 0) + 1;
  }
  return {
    seed: options.seed,
    breaches: checks.breaches,
    calls: checks.calls.length,
    served: checks.calls.filter((call) => call.outcome === 'whole').length,
    ends,
    originBytes: fleet.origin.bytesSent,
    crashing: checks.crashing,
    ranAtHome: locality.ranAtHome,
    leaving: leaving.counts,
    streams: streams.counts,
    crowds: crowds.counts,
    entryPeaks: crowds.peaks,
    directory: fleet.directory,
  };
}
