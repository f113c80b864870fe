/** What a fleet of a soak is made from, and who hears what its servers see. */
import type { Random } from '../src/utils/random.js';
import type { OriginLink } from '../standins/platformOriginStandin.js';
import type { Arrival, SentSignals } from '../standins/platformRunnerSignals.js';
import type { Execution } from '../standins/platformRunnerOptions.js';
import type { WeightsShape } from '../standins/weightsFixture.js';
import type { ProcessRole } from './fleetProcess.js';

/** How large a fleet is. */
export interface FleetSize {
  entries: number;
  /** Boxes with a model server and an agent. */
  modelBoxes: number;
  plainServers: number;
}

/** How weights move. */
export interface FleetWeights {
  shape: WeightsShape;
  boxLinkMegabits: number;
  originLink: OriginLink;
}

/** What a fleet is made from. */
export interface SoakFleetOptions {
  size: FleetSize;
  weights?: FleetWeights;
  /** The second part of all loopback addresses, so that fleets do not meet. */
  network: number;
  random: Random;
  listener: FleetListener;
  /** Further words for node, by role. */
  nodeWords?: Record<ProcessRole, readonly string[]>;
  /** The program; as it is built for tests when left out. */
  program?: string;
}

/** Hears what servers see. */
export interface FleetListener {
  onExecution(execution: Execution): void;
  /** A request has reached a server, whether it runs or not. */
  onArrival(arrival: Arrival): void;
  /** A server has said something of itself in an answer. */
  onSpoken(spoken: SentSignals): void;
  onUnwhole(runner: string, version: number): void;
  /** The request with this body has ended a server. */
  onCrash(body: string): void;
}
