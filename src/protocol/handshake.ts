/** The three frames that open a control connection: challenge, hello, welcome. */
import { z } from 'zod';
import { macOf } from './authentication.js';
import { nameSchema, roleSchema } from './names.js';

/** The version of the control protocol; a server refuses clients of any other. */
export const PROTOCOL_VERSION = 3;

/** The process at one end of a connection. */
export const identitySchema = z.object({ role: roleSchema, box: nameSchema, dataCentre: nameSchema });
export type Identity = z.infer<typeof identitySchema>;

export const challengeSchema = z.object({ type: z.literal('challenge'), nonce: z.string() });

export const helloSchema = z.object({
  type: z.literal('hello'),
  protocol: z.number(),
  identity: identitySchema,
  nonce: z.string(),
  mac: z.string(),
});

export const welcomeSchema = z.object({
  type: z.literal('welcome'),
  identity: identitySchema,
  mac: z.string(),
});

/** Returns the MAC that proves `identity` in answer to the peer's nonce. */
export function handshakeMac(key: string, nonce: string, identity: Identity): string {
  return macOf(key, 'control', nonce, identity.role, identity.box, identity.dataCentre);
}
