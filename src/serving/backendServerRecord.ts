/** A backend server as service discovery tells it. */

/** A version of a model in service. */
export interface ServedModel {
  name: string;
  version: number;
}

/** A backend server process as it says of itself. */
export interface BackendServerRecord {
  /** Unique among the servers; one that starts again may keep it. */
  id: string;
  /** When the process started, in Unix milliseconds by its own clock: another life has another. 0 where it is not told. */
  startedAt: number;
  service: string;
  /** host:port. */
  address: string;
  dataCentre: string;
  slots: number;
  draining: boolean;
  models: readonly ServedModel[];
}
