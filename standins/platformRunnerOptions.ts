/** Options and callbacks of the runner stand-in. */
import type { Arrival, SentSignals } from './platformRunnerSignals.js';
import type { PlatformRunnerStandin } from './platformRunnerStandin.js';
import type { WeightsShape } from './weightsFixture.js';

/** A request that a runner has started to run. */
export interface Execution {
  id: string;
  runner: string;
  service: string;
  customer: string;
  path: string;
  body: string;
  /** What in the request crashes the runner: its body, or a part of its prompt; undefined if nothing does. */
  harm: string | undefined;
  /** Version of the model; 0 for a service without a model. */
  version: number;
  /** Whether the runner took all layers of that version from intact pieces; true without a model. */
  isIntact?: boolean;
  /** Start time, in Unix milliseconds. */
  at: number;
}

/** Options of a runner. */
export interface PlatformRunnerOptions {
  id: string;
  service: string;
  slots: number;
  /** Undefined for a service without a model. */
  weights: WeightsShape | undefined;
  /** The version that it serves at first; 0 for none. */
  version: number;
  /** How long it is cold after a start; 0 by default. */
  coldStartMilliseconds?: number;
  /** Called when a request starts to run. */
  onExecution: (execution: Execution) => void;
  /** Called when a request arrives. */
  onArrival?: (arrival: Arrival) => void;
  /** Called before an answer with a backpressure header is sent. */
  onSignals?: (signals: SentSignals) => void;
  /** Called when a request has crashed the runner. The runner is already closed. */
  onCrash?: (runner: PlatformRunnerStandin, harm: string) => void;
  /** Called when the runner loads a version although chunks of it are missing or corrupt. */
  onIncompleteVersion: (runner: string, version: number) => void;
  /** Returns a random number from 0 to 1. */
  fraction: () => number;
  /**
   * Maximum delay of orders and of calls that stage or read pieces; 0 by default. The delay of each call is random,
   * seeded by the runner's id.
   */
  callMilliseconds?: number;
}
