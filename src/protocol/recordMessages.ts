/** Messages by which entries share records of the platform's store. */
import { z } from 'zod';
import { countSchema } from './names.js';

const MAXIMUM_LIST_LENGTH = 100_000;

/** A store revision for each kind of record. */
const revisionsSchema = z.record(z.string(), countSchema);

/**
 * A record. `json` is its value, if it has one. It is sent as JSON text because JSON is encoded and decoded up to ten
 * times as fast as nested CBOR items: in a process that has just started, a configuration of 1,850 routes takes 4 ms to
 * encode and 10 ms to decode; as CBOR it took 51 ms and 32 ms. All entries do this on each change, and it blocks their
 * event loops.
 */
const objectSchema = z.object({ name: z.string(), revision: countSchema, json: z.string().optional() });

/** Subscribes to record-stamp messages about an entry's copies and, if `wantsChanges`, to changes of the records. */
export const recordSubscribeSchema = z.object({
  type: z.literal('record-subscribe'),
  wantsChanges: z.boolean(),
  /** Revisions that the sender holds; records of a kind are not sent again if the revision is the same. */
  revisions: revisionsSchema,
});
export type RecordSubscribe = z.infer<typeof recordSubscribeSchema>;

/** Objects of a kind as of `revision`: all of them if `whole`, otherwise those that have changed. */
export const recordChangesSchema = z.object({
  type: z.literal('record-changes'),
  kind: z.string(),
  revision: countSchema,
  whole: z.boolean(),
  objects: z.array(objectSchema).max(MAXIMUM_LIST_LENGTH),
  gone: z.array(z.string()).max(MAXIMUM_LIST_LENGTH),
});
export type RecordChanges = z.infer<typeof recordChangesSchema>;

/**
 * Records that the sender keeps in force although the store has been rolled back to an older state. Each side of a
 * connection sends them if the other retains fewer, so that an entry that has just started does not apply the older
 * state.
 */
export const recordsRetainedSchema = z.object({
  type: z.literal('records-retained'),
  kind: z.string(),
  /** Revision of the sender's copy. */
  revision: countSchema,
  records: z
    .array(
      z.object({
        object: objectSchema,
        /** Whether the record had been deleted before the store was rolled back. */
        gone: z.boolean(),
        retainedMilliseconds: z.number().nonnegative(),
      }),
    )
    .max(MAXIMUM_LIST_LENGTH),
});
export type RecordsRetained = z.infer<typeof recordsRetainedSchema>;

/** How current the sender's copies are; sent periodically and with each change. */
export const recordStampSchema = z.object({
  type: z.literal('record-stamp'),
  /** Whether the receiver has been sent all changes up to these revisions. */
  withChanges: z.boolean(),
  /** Time since the store last confirmed the copies; null when it never has. */
  confirmedMilliseconds: z.number().nonnegative().nullable(),
  /** Time since the store became reachable again after an outage; null when there was none. */
  regainedMilliseconds: z.number().nonnegative().nullable(),
  /** Whether the sender has lost the store and its copies have not been confirmed since. */
  lost: z.boolean(),
  revisions: revisionsSchema,
  /** Revision of the newest change to each kind that the sender knows. A copy confirmed later must include it. */
  newestChanges: revisionsSchema,
  /** Number of records of each kind that the sender retains since the store was rolled back. */
  retained: z.record(z.string(), countSchema).default({}),
});
export type RecordStamp = z.infer<typeof recordStampSchema>;
