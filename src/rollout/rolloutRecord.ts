/** The rollout object of a configuration: the state that a coordinator needs to take over from another one. */
import { z } from 'zod';
import {
  countSchema,
  digestSchema,
  nameSchema,
  serviceKindSchema,
  versionSchema,
} from '../protocol/index.js';

/** `staging` → `active` (boxes may switch) → `complete` (all live boxes have switched). */
export const rolloutPhaseSchema = z.enum(['staging', 'active', 'complete']);

export const rolloutRecordSchema = z.object({
  rollout: z.string(),
  kind: serviceKindSchema,
  model: nameSchema,
  version: versionSchema,
  manifestDigest: digestSchema,
  totalBytes: countSchema,
  phase: rolloutPhaseSchema,
  /** Bytes that each agent incarnation (`box/incarnation`) has been allowed to fetch from the origin. */
  granted: z.record(z.string(), countSchema),
  /** Why the rollout cannot continue, or ''. */
  heldBack: z.string(),
  startedAt: z.string(),
  activatedAt: z.string(),
  completedAt: z.string(),
  changeId: z.string(),
});
export type RolloutRecord = z.infer<typeof rolloutRecordSchema>;

/** Parses a rollout object; undefined when it is missing or invalid. */
export function parseRollout(value: unknown): RolloutRecord | undefined {
  const parsed = rolloutRecordSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
