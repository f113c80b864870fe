/** Records of the platform's store as entries pass them on to each other. */
import { z } from 'zod';
import { countSchema } from './names.js';

const MAXIMUM_LIST_LENGTH = 100_000;

/** Revisions of the store by kind of record. */
const revisionsSchema = z.record(z.string(), countSchema);

/**
 * Values are JSON texts, absent where there is none: the runtime writes and reads these ten times as fast as nested items of a
 * message. A configuration of 1,850 routes took 51 ms to encode and 32 to decode in a process that had just started, and
 * takes 4 and 10; all entries do that at each change, and hear of nothing else meanwhile.
 */
const objectSchema = z.object({ name: z.string(), revision: countSchema, json: z.string().optional() });

/** Asks an entry for its copies: for how current they are, and for their changes too if `wantsChanges`. */
export const recordSubscribeSchema = z.object({
  type: z.literal('record-subscribe'),
  wantsChanges: z.boolean(),
  /** What the asking entry holds; copies of the same revision are not sent again. */
  revisions: revisionsSchema,
});
export type RecordSubscribe = z.infer<typeof recordSubscribeSchema>;

/** All objects of a kind if `whole`, else those that have changed, as of `revision`. */
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
 * Records that the sender keeps in force since the store was rolled back. Either side sends them where the other has fewer, so that an
 * entry that has just started does not serve by the snapshot.
 */
export const recordsRetainedSchema = z.object({
  type: z.literal('records-retained'),
  kind: z.string(),
  /** Of the sender's copy. */
  revision: countSchema,
  records: z
    .array(
      z.object({
        object: objectSchema,
        /** Whether it had been deleted. */
        gone: z.boolean(),
        retainedMilliseconds: z.number().nonnegative(),
      }),
    )
    .max(MAXIMUM_LIST_LENGTH),
});
export type RecordsRetained = z.infer<typeof recordsRetainedSchema>;

/** How current the sender's copies are; sent now and then and with each change. */
export const recordStampSchema = z.object({
  type: z.literal('record-stamp'),
  /** Whether the receiver has been sent all changes up to these revisions. */
  withChanges: z.boolean(),
  /** Milliseconds since the store last confirmed the copies; null when it never has. */
  confirmedMilliseconds: z.number().nonnegative().nullable(),
  /** Milliseconds since the store was regained after an outage; null when it was never lost. */
  regainedMilliseconds: z.number().nonnegative().nullable(),
  /** Whether the sender has lost the store, and nothing has confirmed its copies since. */
  lost: z.boolean(),
  revisions: revisionsSchema,
  /** The newest change of each kind that the sender knows. A copy that was confirmed later may lack nothing of it. */
  newestChanges: revisionsSchema,
  /** How many records of each kind the sender retains since the store was rolled back. */
  retained: z.record(z.string(), countSchema).default({}),
});
export type RecordStamp = z.infer<typeof recordStampSchema>;
