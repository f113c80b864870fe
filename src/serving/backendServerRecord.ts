/** A backend server as service discovery tells it. */

/** A version of a model in service. */
export interface ServedModel {
  name: string;
  version: number;
}

/** One life of a backend server process. */
export interface BackendServerRecord {
  /** Unique to this life. */
  id: string;
  service: string;
  /** host:port. */
  address: string;
  dataCentre: string;
  slots: number;
  draining: boolean;
  models: readonly ServedModel[];
}
