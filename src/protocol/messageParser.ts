/** Validates messages of peers. */
import { StepError } from '../utils/stepError.js';
import type { Message } from './message.js';
import { messageSchema, schemaOf } from './message.js';
import { QuickParser } from './quickParser.js';

/** Parsers by message type, created with the first message of the type; undefined where only zod can check it. */
const quickParsers = new Map<string, QuickParser | undefined>();

/**
 * Returns the message in a frame. Throws if it is invalid. Returns undefined for a message of an unknown type, so that
 * processes of different releases can work together.
 */
export function parseMessage(frame: unknown): Message | undefined {
  const type = (frame as { type?: unknown } | null)?.type;
  const schema = typeof type === 'string' ? schemaOf(type) : messageSchema;
  if (!schema) return undefined;
  const message = typeof type === 'string' ? parseQuickly(type, frame as object) : undefined;
  if (message) return message;
  const parsed = schema.safeParse(frame);
  if (!parsed.success)
    throw new StepError('control.receive', `bad message: ${parsed.error.issues[0]?.message}`);
  return parsed.data;
}

function parseQuickly(type: string, frame: object): Message | undefined {
  if (!quickParsers.has(type)) quickParsers.set(type, QuickParser.of(schemaOf(type)!));
  return quickParsers.get(type)?.parse(frame) as Message | undefined;
}
