/** The union of all control messages, and their validation. */
import { z } from 'zod';
import {
  agentListQuerySchema,
  agentListSchema,
  boxStatusSchema,
  entryListSchema,
  entryPresenceSchema,
  linkEchoSchema,
  linkProbeSchema,
  serverNoticesSchema,
  switchStateSchema,
  versionsHeardSchema,
} from './boxMessages.js';
import {
  recordChangesSchema,
  recordStampSchema,
  recordSubscribeSchema,
  recordsRetainedSchema,
} from './recordMessages.js';
import {
  digestMessageSchema,
  entryStateSchema,
  recordsMessageSchema,
  revisionQuerySchema,
} from './replicationMessages.js';
import { loadMessageSchema, reportMessageSchema, subscribeMessageSchema } from './reportMessages.js';
import {
  activateMessageSchema,
  grantMessageSchema,
  holdingsQuerySchema,
  ledgerExportSchema,
  ledgerImportSchema,
  ledgerMessageSchema,
  planMessageSchema,
  replyMessageSchema,
  withdrawMessageSchema,
} from './rolloutMessages.js';
import { haveMessageSchema, swarmJoinSchema } from './swarmMessages.js';

/** Every message that may follow the handshake. */
export const messageSchema = z.discriminatedUnion('type', [
  recordsMessageSchema,
  digestMessageSchema,
  revisionQuerySchema,
  entryStateSchema,
  subscribeMessageSchema,
  reportMessageSchema,
  loadMessageSchema,
  planMessageSchema,
  grantMessageSchema,
  activateMessageSchema,
  withdrawMessageSchema,
  holdingsQuerySchema,
  ledgerMessageSchema,
  ledgerExportSchema,
  ledgerImportSchema,
  replyMessageSchema,
  swarmJoinSchema,
  haveMessageSchema,
  entryPresenceSchema,
  agentListQuerySchema,
  agentListSchema,
  boxStatusSchema,
  entryListSchema,
  switchStateSchema,
  versionsHeardSchema,
  serverNoticesSchema,
  linkProbeSchema,
  linkEchoSchema,
  recordSubscribeSchema,
  recordChangesSchema,
  recordStampSchema,
  recordsRetainedSchema,
]);
export type Message = z.infer<typeof messageSchema>;

/** The message of a given type. */
export type MessageOf<Type extends Message['type']> = Extract<Message, { type: Type }>;

/** Schemas by message type: a lookup is faster than validating against the union. */
const schemaByType = new Map<string, (typeof messageSchema.options)[number]>(
  messageSchema.options.map((option) => [option.shape.type.value, option]),
);

/** Returns the schema of messages of `type`, or undefined when the type is unknown to this release. */
export function schemaOf(type: string): (typeof messageSchema.options)[number] | undefined {
  return schemaByType.get(type);
}
