/** Messages by which entries replicate the objects of the object API among each other. */
import { z } from 'zod';
import { countSchema } from './names.js';

/** An object of the object API as entries replicate it. `value` is null once the object is deleted. */
export const recordSchema = z.object({
  key: z.string().min(3).max(300),
  revision: countSchema,
  value: z.unknown(),
  deleted: z.boolean(),
});
export type ReplicatedRecord = z.infer<typeof recordSchema>;

/** Number of buckets of an anti-entropy digest. */
export const DIGEST_BUCKETS = 64;

/** Records that the peer may lack. The peer replies if `call` is present. */
export const recordsMessageSchema = z.object({
  type: z.literal('records'),
  call: countSchema.optional(),
  records: z.array(recordSchema).max(10_000),
});

/** The hash of each bucket. The peer answers with its records of the buckets that differ. */
export const digestMessageSchema = z.object({
  type: z.literal('digest'),
  buckets: z.array(countSchema).length(DIGEST_BUCKETS),
});

/** Asks for the revision of `key` that the peer holds. */
export const revisionQuerySchema = z.object({
  type: z.literal('revision-query'),
  call: countSchema,
  key: z.string(),
});

/** State of an entry that is not in the object API. */
export const entryStateSchema = z.object({ type: z.literal('entry-state'), leaving: z.boolean() });
