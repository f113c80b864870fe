/** Reports of agents to entries about their boxes. */
import { z } from 'zod';
import { countSchema, nameSchema } from './names.js';

/** State of a version on a box. */
export const stageStateSchema = z.enum(['staging', 'staged', 'loaded', 'active']);
export type StageState = z.infer<typeof stageStateSchema>;

/** State of one configuration on the box. `activeVersion` is '' when the box serves none. */
export const serviceReportSchema = z.object({
  customer: nameSchema,
  configuration: nameSchema,
  epoch: countSchema,
  activeVersion: z.string(),
  activeRollout: z.string(),
  rollout: z.string(),
  state: stageStateSchema,
  heldChunks: countSchema,
  totalChunks: countSchema,
  originBytes: countSchema,
  crossDataCentreBytes: countSchema,
  peerBytes: countSchema,
  corruptChunks: countSchema,
  /** Number of chunks whose granted origin fetch (draw) has not ended. */
  openDraws: countSchema,
  /** Chunks whose origin fetch failed after bytes were received; each needs a new grant. */
  failedDraws: z.array(countSchema).max(100_000),
  /** Hash of the ledger slots that are assigned to the agent; see ledgerHash. */
  ledgerHash: countSchema,
  problem: z.string(),
});
export type ServiceReport = z.infer<typeof serviceReportSchema>;

/** The state of a box. Routing relies on the versions in it; the load may be out of date. */
export const reportMessageSchema = z.object({
  type: z.literal('report'),
  box: nameSchema,
  incarnation: z.string(),
  leaving: z.boolean(),
  backendUp: z.boolean(),
  inFlight: countSchema,
  queued: countSchema,
  capacity: countSchema,
  stagedBytes: countSchema,
  services: z.array(serviceReportSchema).max(1_000),
});
export type ReportMessage = z.infer<typeof reportMessageSchema>;

/** The load alone, which changes far more often than the rest of a report. It may be out of date. */
export const loadMessageSchema = z.object({
  type: z.literal('load'),
  inFlight: countSchema,
  queued: countSchema,
});
export type LoadMessage = z.infer<typeof loadMessageSchema>;

/** Asks an agent to send its report now and on every change. */
export const subscribeMessageSchema = z.object({ type: z.literal('subscribe') });
