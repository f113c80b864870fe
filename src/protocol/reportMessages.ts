/** What an agent tells the entries about its box. */
import { z } from 'zod';
import { countSchema, nameSchema } from './names.js';

/** State of a version on a box. */
export const stageStateSchema = z.enum(['staging', 'staged', 'loaded', 'active']);
export type StageState = z.infer<typeof stageStateSchema>;

/** One configuration on the box. `activeVersion` is '' when the box serves none. */
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
  openDraws: countSchema,
  /** Draws that took bytes from the origin and failed; each needs a new grant. */
  failedDraws: z.array(countSchema).max(100_000),
  /** Hash of the ledger slots that the agent was given, see ledgerHash. */
  ledgerHash: countSchema,
  problem: z.string(),
});
export type ServiceReport = z.infer<typeof serviceReportSchema>;

/** The state of a box. Load is a hint; versions are what routing trusts. */
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

/** Load alone, which changes far more often than the rest. A hint. */
export const loadMessageSchema = z.object({
  type: z.literal('load'),
  inFlight: countSchema,
  queued: countSchema,
});
export type LoadMessage = z.infer<typeof loadMessageSchema>;

/** Asks the agent to send its report now and on every change. */
export const subscribeMessageSchema = z.object({ type: z.literal('subscribe') });
