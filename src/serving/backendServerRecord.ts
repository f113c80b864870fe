/** A backend server as listed by service discovery. */

/** A model and the version of it that is being served. */
export interface ServedModel {
  name: string;
  version: number;
}

/** The record that a backend server process publishes about itself. */
export interface BackendServerRecord {
  /** Unique among the servers; a server may keep it across restarts. */
  id: string;
  /** Start of the process in Unix milliseconds by its own clock, which identifies the incarnation; 0 when unknown. */
  startedAt: number;
  service: string;
  /** host:port. */
  address: string;
  dataCentre: string;
  slots: number;
  draining: boolean;
  models: readonly ServedModel[];
  /** Number of orders that the server had accepted since its start when the record was written; absent when unknown. */
  ordersTaken?: number;
  /** Milliseconds for which the server remains cold, from when the record was written; absent when it is warm. */
  coldLeftMilliseconds?: number;
  /** Latest end of that time, in this process's monotonic milliseconds; set when the record arrives. */
  coldUntil?: number;
}
