/** Chunk exchange between agents of one rollout. */
import { z } from 'zod';
import { countSchema } from './names.js';

/** Opens the exchange of a rollout with everything that the sender holds. */
export const swarmJoinSchema = z.object({
  type: z.literal('swarm-join'),
  rollout: z.string(),
  held: z.instanceof(Uint8Array),
});

/** Chunks that the sender has verified since its last message, and how long its upload queue is. */
export const haveMessageSchema = z.object({
  type: z.literal('have'),
  rollout: z.string(),
  chunks: z.array(countSchema).max(100_000),
  uploadQueue: countSchema,
});
