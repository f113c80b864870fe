/** The three kinds of records that a gateway follows, and how their values are read. */
import type { WatchableStore } from '../records/watchableStore.js';
import type { BackendServerRecord } from './backendServerRecord.js';
import type { ServingConfiguration } from './servingConfiguration.js';

/** A version that an operator has named. */
export interface NamedVersion {
  model: string;
  version: number;
}

/** Reads the values of records; undefined for a value that cannot be understood. */
export interface RecordReader {
  readonly kinds: { configuration: string; servers: string; versions: string };
  configuration(name: string, value: unknown): ServingConfiguration | undefined;
  server(name: string, value: unknown): BackendServerRecord | undefined;
  version(name: string, value: unknown): NamedVersion | undefined;
}

/** The platform as a gateway sees it. */
export interface ServingPlatform {
  store: WatchableStore;
  reader: RecordReader;
}
