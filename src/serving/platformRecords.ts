/** The kinds of records that a gateway follows, and how the values of those are read that others write. */
import type { Result } from 'neverthrow';
import type { UnreadableRecords } from '../records/unreadableRecords.js';
import type { WatchableStore } from '../records/watchableStore.js';
import type { WritableStore } from '../records/writableStore.js';
import type { BackendServerRecord } from './backendServerRecord.js';
import type { ServingConfiguration } from './servingConfiguration.js';

/** A version that an operator has named. */
export interface TargetVersion {
  model: string;
  version: number;
}

/** A value as it was understood, or why it cannot be. */
export type DecodeResult<T> = Result<T, string>;

/** Reads the values of records. Anybody may write one: what is not as it should be is used for nothing. */
export interface RecordReader {
  /** `suspicions` is a kind of our own, which nobody else uses. */
  readonly kinds: { configuration: string; servers: string; versions: string; suspicions: string };
  configuration(name: string, value: unknown): DecodeResult<ServingConfiguration>;
  server(name: string, value: unknown): DecodeResult<BackendServerRecord>;
  version(name: string, value: unknown): DecodeResult<TargetVersion>;
}

/** The platform as a gateway sees it. */
export interface ServingPlatform {
  store: WatchableStore & WritableStore;
  reader: RecordReader;
  /** Hears of what the reader cannot understand. */
  unreadable: UnreadableRecords;
}
