/** Interface to the backend server on an agent's box: a model engine or a plain service. */

/**
 * An order to load a version. The backend server reads the weights from `weightsUrl`, and can refuse an order with
 * an outdated `epoch`.
 */
export interface LoadOrder {
  customer: string;
  model: string;
  version: string;
  epoch: number;
  totalBytes: number;
  weightsUrl: string;
}

/** An order to activate or unload a version. */
export interface VersionOrder {
  customer: string;
  model: string;
  version: string;
  epoch: number;
}

/** Operations of a backend server. Orders throw a StepError when the server refuses them or does not answer. */
export interface BackendServer {
  /** Loads a version while another one is serving; resolves once it can be activated. */
  load(order: LoadOrder): Promise<void>;
  /** Makes a loaded version the one that serves new requests. */
  activate(order: VersionOrder): Promise<void>;
  /** Unloads a version that no request uses. */
  unload(order: VersionOrder): Promise<void>;
  /** Whether the backend server passes its health check. */
  healthy(): Promise<boolean>;
}
