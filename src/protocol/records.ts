/** Replicated records: what every entry keeps of the object API. */
import { z } from 'zod';
import { countSchema } from './names.js';

/** One object of the object API as it travels between entries. `value` is null once deleted. */
export const recordSchema = z.object({
  key: z.string().min(3).max(300),
  revision: countSchema,
  value: z.unknown(),
  deleted: z.boolean(),
});
export type ReplicatedRecord = z.infer<typeof recordSchema>;

/** How many buckets an anti-entropy digest has. */
export const DIGEST_BUCKETS = 64;

/** Sends records that the peer may lack; answered when `call` is present. */
export const recordsMessageSchema = z.object({
  type: z.literal('records'),
  call: countSchema.optional(),
  records: z.array(recordSchema).max(10_000),
});

/** Sends the hash of each bucket; the peer answers with its records of the buckets that differ. */
export const digestMessageSchema = z.object({
  type: z.literal('digest'),
  buckets: z.array(countSchema).length(DIGEST_BUCKETS),
});

/** Asks which revision of `key` the peer holds. */
export const revisionQuerySchema = z.object({
  type: z.literal('revision-query'),
  call: countSchema,
  key: z.string(),
});

/** Tells the peers what they cannot see in the object API. */
export const entryStateSchema = z.object({ type: z.literal('entry-state'), leaving: z.boolean() });
