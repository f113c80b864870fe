/** How a runner of the platform's stand-in is made, and what hears of what it sees. */
import type { Arrival, SentSignals } from './platformRunnerSignals.js';
import type { PlatformRunnerStandin } from './platformRunnerStandin.js';
import type { WeightsShape } from './weightsFixture.js';

/** One request that a runner has begun to work on. */
export interface Execution {
  id: string;
  runner: string;
  service: string;
  customer: string;
  path: string;
  body: string;
  /** Version of the model, 0 for services without one. */
  version: number;
  /** Wall clock, in milliseconds. */
  at: number;
}

/** How a runner is made. */
export interface PlatformRunnerOptions {
  id: string;
  service: string;
  slots: number;
  /** Undefined for a service without a model. */
  weights: WeightsShape | undefined;
  /** The version that it holds at first, 0 for none. */
  version: number;
  /** Hears of every request that begins. */
  onExecution: (execution: Execution) => void;
  /** Hears of every request that arrives. */
  onArrival?: (arrival: Arrival) => void;
  /** Hears of every answer in which it says something of itself. */
  onSignals?: (spoken: SentSignals) => void;
  /** Hears that a request ends the process, which is to be closed at once. */
  onCrash?: (runner: PlatformRunnerStandin, body: string) => void;
  /** Hears of a version that was taken though it was not whole. */
  onIncompleteVersion: (runner: string, version: number) => void;
  /** Draws from 0 up to 1. */
  fraction: () => number;
  /** Longest time of a call about pieces or an order; each takes a part of it, drawn by the runner's id. At once when absent. */
  callMilliseconds?: number;
}
