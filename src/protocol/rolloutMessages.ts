/** Orders from a rollout coordinator to agents. Every order has the coordinator's epoch. */
import { z } from 'zod';
import { manifestSchema } from './manifest.js';
import { countSchema, digestSchema, nameSchema, versionSchema } from './names.js';

/** A box that takes part in a rollout, and the address of its agent. */
export const memberSchema = z.object({
  box: nameSchema,
  dataCentre: nameSchema,
  address: z.string(),
  httpPort: countSchema,
  controlPort: countSchema,
});
export type Member = z.infer<typeof memberSchema>;

/** How chunks are distributed to the boxes; see docs/decisions/0001-distribution.md. */
export const distributionSchema = z.enum(['direct', 'chain', 'exchange']);
export type Distribution = z.infer<typeof distributionSchema>;

/** The kind of the backend servers of a service. */
export const serviceKindSchema = z.enum(['model', 'plain']);
export type ServiceKind = z.infer<typeof serviceKindSchema>;

const orderFields = {
  call: countSchema,
  customer: nameSchema,
  configuration: nameSchema,
  epoch: countSchema,
};

/** Tells an agent which version to stage, how, and with which other boxes. Idempotent. */
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

/** Allows the agent to fetch these chunks from the origin, once each. Messages call an origin fetch a draw. */
export const grantMessageSchema = z.object({
  type: z.literal('grant'),
  ...orderFields,
  rollout: z.string(),
  chunks: z.array(countSchema).max(100_000),
});

/** Tells an agent to serve a version that is fully staged. */
export const activateMessageSchema = z.object({
  type: z.literal('activate'),
  ...orderFields,
  rollout: z.string(),
});

/** Tells an agent to stop serving a configuration. */
export const withdrawMessageSchema = z.object({ type: z.literal('withdraw'), ...orderFields });

/** Asks which chunks of a rollout the agent holds and which of its granted origin fetches have not ended. */
export const holdingsQuerySchema = z.object({
  type: z.literal('holdings-query'),
  ...orderFields,
  rollout: z.string(),
});

/** Assigns an agent its slots of the ledger of requests that must not be executed twice. */
export const ledgerMessageSchema = z.object({
  type: z.literal('ledger'),
  ...orderFields,
  slots: z.array(z.object({ slot: countSchema, slotEpoch: countSchema, blind: z.boolean() })).max(1_000),
});

/** Takes all ledger slots from an agent that is leaving; the reply has the keys that it remembers. */
export const ledgerExportSchema = z.object({
  type: z.literal('ledger-export'),
  ...orderFields,
  /** Asks for a part of the keys: the next ones after this key, '' for the first ones. Older builds ask for all. */
  after: z.string().optional(),
});

/** Gives an agent the keys that another agent exported, before their slots are assigned to it. */
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

/** The reply to any message with a `call` number. */
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
  /** Whether more keys follow those of this reply. */
  more: z.boolean().optional(),
});
export type ReplyMessage = z.infer<typeof replyMessageSchema>;
