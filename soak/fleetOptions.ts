/** Options of a soak's fleet, and the listener for events of its backend servers. */
import type { Random } from '../src/utils/random.js';
import type { OriginLink } from '../standins/platformOriginStandin.js';
import type { Arrival, SentSignals } from '../standins/platformRunnerSignals.js';
import type { Execution } from '../standins/platformRunnerOptions.js';
import type { WeightsShape } from '../standins/weightsFixture.js';
import type { ProcessRole } from './fleetProcess.js';

/** Number of processes in a fleet. */
export interface FleetSize {
  entries: number;
  /** Boxes with a model server and an agent. */
  modelBoxes: number;
  plainServers: number;
}

/** Size of the model weights and speed of the links that carry them. */
export interface FleetWeights {
  shape: WeightsShape;
  boxLinkMegabits: number;
  originLink: OriginLink;
}

/** Limits that entries have to keep while crowds of clients strain them. */
export interface CrowdLimits {
  memoryMegabytes: number;
  descriptors: number;
  /** Maximum size of the body of a request. */
  bodyBytes: number;
}

/** Options of a fleet. */
export interface SoakFleetOptions {
  size: FleetSize;
  weights?: FleetWeights;
  /** The second octet of all loopback addresses. Fleets that run at the same time need different ones. */
  network: number;
  random: Random;
  /** Time from SIGTERM until a process has to be gone. Defaults to that of all soaks. */
  graceSeconds?: number;
  /** Limits of the entries. By default their settings name none. */
  crowdLimits?: CrowdLimits;
  listener: FleetListener;
  /** Additional command-line arguments of node, by role. */
  nodeArguments?: Record<ProcessRole, readonly string[]>;
  /** Path of the program. Defaults to the unbundled build in dist. */
  program?: string;
}

/** Receives events of the fleet's backend servers. */
export interface FleetListener {
  /** A server has begun to work on a request. */
  onExecution(execution: Execution): void;
  /** A request has reached a server, which may still reject it. */
  onArrival(arrival: Arrival): void;
  /** A server has sent a limit, a drain notice or a Retry-After in the headers of an answer. */
  onSignals(signals: SentSignals): void;
  /** A server has activated a version that lacks chunks or has corrupted ones. */
  onIncompleteVersion(runner: string, version: number): void;
  /** The operator has evacuated a data centre; the returned function is called at the end of the evacuation. */
  onEvacuation(zone: string): () => void;
  /** A body, or a part of a prompt, has crashed a server. */
  onCrash(harm: string): void;
}
