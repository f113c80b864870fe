/** The backend server on an agent's box: a model engine or a plain service. */

/** A fenced order to the backend server. `weightsUrl` is where it reads the version's bytes. */
export interface LoadOrder {
  customer: string;
  model: string;
  version: string;
  epoch: number;
  totalBytes: number;
  weightsUrl: string;
}

/** What an activation or unload names. */
export interface VersionOrder {
  customer: string;
  model: string;
  version: string;
  epoch: number;
}

/** Orders that an agent gives to its backend server. Each throws a StepError when refused or unanswered. */
export interface BackendServer {
  /** Loads a version beside the one in service; resolves once it is ready to be activated. */
  load(order: LoadOrder): Promise<void>;
  /** Makes a loaded version the one that new work runs on. */
  activate(order: VersionOrder): Promise<void>;
  /** Drops a version that no work runs on. */
  unload(order: VersionOrder): Promise<void>;
  /** Whether the backend server answers. */
  healthy(): Promise<boolean>;
}
