/** The lease object of a configuration. */
import { z } from 'zod';
import { countSchema } from '../protocol/index.js';

/** `epoch` grows by one at every change of holder, `renewal` at every renewal. */
export const leaseRecordSchema = z.object({
  holder: z.string(),
  epoch: countSchema,
  renewal: countSchema,
  released: z.boolean(),
  changeId: z.string(),
});
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;
