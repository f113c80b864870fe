/** The backend server on the agent's own box, as far as versions are concerned. */

/** What the backend server says of itself. */
export interface LocalBackendStatus {
  /** Versions in service by model; a model without all its layers is absent. */
  versions: ReadonlyMap<string, number>;
  /** Whether it is carrying out an order. */
  busy: boolean;
  /** Orders that it has taken in this life. */
  revision: number;
  running: number;
  queued: number;
  /** When it started, in Unix milliseconds by its own clock; 0 where it does not tell. */
  startedAt: number;
}

/** What became of an order. */
export type OrderOutcome = 'begun' | 'done' | 'refused' | 'unknown';

/** The system's code, at the cause of a StepError, for a connection that nobody accepts: the call has reached nothing. */
export const CONNECTION_REFUSED = 'ECONNREFUSED';

/** Reads throw a StepError when there is no answer. */
export interface LocalBackend {
  status(): Promise<LocalBackendStatus>;
  /** Stages a chunk, over whatever lies in its place. */
  putChunk(model: string, chunk: number, data: Buffer): Promise<void>;
  /** What lies staged; undefined when nothing does. */
  getChunk(model: string, chunk: number): Promise<Buffer | undefined>;
  /** Chunks that lie staged, whole or not. */
  stagedChunks(model: string): Promise<number[]>;
  /** Orders the backend server to take what lies staged; refused when its revision is another one. */
  startVersion(model: string, version: number, revision: number): Promise<OrderOutcome>;
}
