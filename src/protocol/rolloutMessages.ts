/** Orders from a rollout coordinator to agents. Every order carries the coordinator's epoch. */
import { z } from 'zod';
import { manifestSchema } from './manifest.js';
import { countSchema, digestSchema, nameSchema, versionSchema } from './names.js';

/** A box of a rollout and where its agent listens. */
export const memberSchema = z.object({
  box: nameSchema,
  dataCentre: nameSchema,
  address: z.string(),
  httpPort: countSchema,
  controlPort: countSchema,
});
export type Member = z.infer<typeof memberSchema>;

/** How chunks reach the boxes: see docs/decisions/0001-distribution.md. */
export const distributionSchema = z.enum(['direct', 'chain', 'exchange']);
export type Distribution = z.infer<typeof distributionSchema>;

/** What the backend server behind the service is. */
export const serviceKindSchema = z.enum(['model', 'plain']);
export type ServiceKind = z.infer<typeof serviceKindSchema>;

const orderFields = {
  call: countSchema,
  customer: nameSchema,
  configuration: nameSchema,
  epoch: countSchema,
};

/** Tells an agent what to stage, with whom, and how. Repeating it is harmless. */
export const planMessageSchema = z.object({
  type: z.literal('plan'),
  ...orderFields,
  rollout: z.string(),
  kind: serviceKindSchema,
  model: nameSchema,
  version: versionSchema,
  manifestDigest: digestSchema,
  manifest: manifestSchema,
  weight: z.number().positive(),
  distribution: distributionSchema,
  members: z.array(memberSchema).max(10_000),
});
export type PlanMessage = z.infer<typeof planMessageSchema>;

/** Allows the agent to draw these chunks from the origin, once each. */
export const grantMessageSchema = z.object({
  type: z.literal('grant'),
  ...orderFields,
  rollout: z.string(),
  chunks: z.array(countSchema).max(100_000),
});

/** Makes a fully staged version the one that the box serves. */
export const activateMessageSchema = z.object({
  type: z.literal('activate'),
  ...orderFields,
  rollout: z.string(),
});

/** Ends the service of a configuration on the box. */
export const withdrawMessageSchema = z.object({ type: z.literal('withdraw'), ...orderFields });

/** Asks which chunks of a rollout the agent holds and which granted draws are still open. */
export const holdingsQuerySchema = z.object({
  type: z.literal('holdings-query'),
  ...orderFields,
  rollout: z.string(),
});

/** Gives the agent its part of the ledger of requests that are not repeatable. */
export const ledgerMessageSchema = z.object({
  type: z.literal('ledger'),
  ...orderFields,
  slots: z.array(z.object({ slot: countSchema, slotEpoch: countSchema, blind: z.boolean() })).max(1_000),
});
/** Takes all slots from an agent that is leaving; the reply carries the keys that it remembers. */
export const ledgerExportSchema = z.object({ type: z.literal('ledger-export'), ...orderFields });

/** Makes an agent remember keys that another one handed over, before it is given their slots. */
export const ledgerImportSchema = z.object({
  type: z.literal('ledger-import'),
  ...orderFields,
  keys: z.array(z.string()).max(1_000_000),
});

export type LedgerSlot = z.infer<typeof ledgerMessageSchema>['slots'][number];

/** Any order. */
export type OrderMessage =
  | PlanMessage
  | z.infer<typeof grantMessageSchema>
  | z.infer<typeof activateMessageSchema>
  | z.infer<typeof withdrawMessageSchema>
  | z.infer<typeof holdingsQuerySchema>
  | z.infer<typeof ledgerMessageSchema>
  | z.infer<typeof ledgerExportSchema>
  | z.infer<typeof ledgerImportSchema>;

/** Why an agent refused an order. */
export const orderRefusalSchema = z.enum([
  'stale-epoch',
  'unknown-rollout',
  'not-staged',
  'leaving',
  'backend-refused',
]);
export type OrderRefusal = z.infer<typeof orderRefusalSchema>;

/** The answer to any message with a `call`. */
export const replyMessageSchema = z.object({
  type: z.literal('reply'),
  call: countSchema,
  accepted: z.boolean(),
  refusal: orderRefusalSchema.optional(),
  detail: z.string().optional(),
  revision: countSchema.optional(),
  held: z.instanceof(Uint8Array).optional(),
  openDraws: z.array(countSchema).optional(),
  originBytes: countSchema.optional(),
  incarnation: z.string().optional(),
  keys: z.array(z.string()).optional(),
});
export type ReplyMessage = z.infer<typeof replyMessageSchema>;
