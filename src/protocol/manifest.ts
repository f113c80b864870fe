/** The manifest of one version of a model. */
import { z } from 'zod';
import { digestSchema, versionSchema } from './names.js';

/** One chunk: its SHA-256 and its size in bytes. */
export const chunkSchema = z.object({ digest: digestSchema, size: z.number().int().positive() });
export type ChunkDescription = z.infer<typeof chunkSchema>;

/** All chunks of a version in order; concatenated, they are the bytes of the model. Provided by the origin. */
export const manifestSchema = z.object({
  model: z.string().min(1).max(63),
  version: versionSchema,
  chunks: z.array(chunkSchema).max(100_000),
  /** Number of layers; absent if the origin does not tell it. */
  layers: z.number().int().positive().optional(),
});
export type Manifest = z.infer<typeof manifestSchema>;
