/** Messages of the chunk exchange between the agents of a rollout. */
import { z } from 'zod';
import { countSchema } from './names.js';

/** Announces all chunks of a rollout that the sender holds; the first message of the exchange. */
export const swarmJoinSchema = z.object({
  type: z.literal('swarm-join'),
  rollout: z.string(),
  held: z.instanceof(Uint8Array),
});

/** Announces the chunks that the sender has verified since its last message, and the length of its upload queue. */
export const haveMessageSchema = z.object({
  type: z.literal('have'),
  rollout: z.string(),
  chunks: z.array(countSchema).max(100_000),
  uploadQueue: countSchema,
});
