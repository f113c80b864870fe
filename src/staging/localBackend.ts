/** Interface to the backend server on the agent's own box: staging of chunks and loading of versions. */

/** Status that the backend server reports. */
export interface LocalBackendStatus {
  /** Loaded versions by model. A model whose layers are not all loaded is absent. */
  versions: ReadonlyMap<string, number>;
  /** Whether it is executing an order. */
  busy: boolean;
  /** Number of orders that it has accepted since it started. */
  revision: number;
  running: number;
  queued: number;
  /** The layers that it holds of its only model; absent if it does not report them. */
  layers?: LayerRange;
  /** Start time in Unix milliseconds by its own clock; 0 if it does not report one. */
  startedAt: number;
}

/** Consecutive layers of a model, from `first` up to but not including `end`. */
export interface LayerRange {
  first: number;
  end: number;
}

/** Result of an order; `unknown` if there was no answer, so that it may or may not be executed. */
export type OrderOutcome = 'begun' | 'done' | 'refused' | 'unknown';

/**
 * System error code, in the cause of a StepError, of a call that reached no server since nothing listens at the
 * address.
 */
export const CONNECTION_REFUSED = 'ECONNREFUSED';

/** Calls to the backend server. Those that read throw a StepError if there is no answer. */
export interface LocalBackend {
  status(): Promise<LocalBackendStatus>;
  /** Stages a chunk, and overwrites the chunk staged under this number. */
  putChunk(model: string, chunk: number, data: Buffer): Promise<void>;
  /** Returns a staged chunk; undefined if there is none. */
  getChunk(model: string, chunk: number): Promise<Buffer | undefined>;
  /** Returns the numbers of the staged chunks, even if they do not make up a complete version. */
  stagedChunks(model: string): Promise<number[]>;
  /**
   * Orders the backend server to load the staged chunks as `version`; refused if its revision is not `revision`. With
   * `layers`, it is to hold exactly these: it releases the others, and loads those that it does not hold.
   */
  startVersion(model: string, version: number, revision: number, layers?: LayerRange): Promise<OrderOutcome>;
}
