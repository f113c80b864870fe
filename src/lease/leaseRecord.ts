/** The object in the object API that stores the lease of a configuration. */
import { z } from 'zod';
import { countSchema } from '../protocol/index.js';

/** `epoch` increases by one with every acquisition, `renewal` with every renewal. */
export const leaseRecordSchema = z.object({
  holder: z.string(),
  epoch: countSchema,
  renewal: countSchema,
  released: z.boolean(),
  changeId: z.string(),
});
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;
