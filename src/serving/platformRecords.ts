/** The record kinds that a gateway follows, and the interface that decodes their values. */
import type { Result } from 'neverthrow';
import type { UnreadableRecords } from '../records/unreadableRecords.js';
import type { WatchableStore } from '../records/watchableStore.js';
import type { WritableStore } from '../records/writableStore.js';
import type { BackendServerRecord } from './backendServerRecord.js';
import type { ServingConfiguration } from './servingConfiguration.js';

/** The version of a model that the operator wants to be served. */
export interface TargetVersion {
  model: string;
  version: number;
}

/** A decoded value, or the reason why it is invalid. */
export type DecodeResult<T> = Result<T, string>;

/** Decodes record values. Others write these records, so invalid values are expected and ignored. */
export interface RecordReader {
  /** Names of the record kinds. Only entries read and write `suspicions`. */
  readonly kinds: {
    configuration: string;
    servers: string;
    versions: string;
    evacuations: string;
    suspicions: string;
  };
  configuration(name: string, value: unknown): DecodeResult<ServingConfiguration>;
  server(name: string, value: unknown): DecodeResult<BackendServerRecord>;
  version(name: string, value: unknown): DecodeResult<TargetVersion>;
}

/** Access of a gateway to the platform's records. */
export interface ServingPlatform {
  store: WatchableStore & WritableStore;
  reader: RecordReader;
  /** Counts and logs records that the reader cannot decode. */
  unreadable: UnreadableRecords;
}
