/** Schemas of names and other small values that many messages share. */
import { z } from 'zod';

const NAME_RULE = '1 to 63 of a-z, 0-9 and -, not starting with -';
const VERSION_RULE = '1 to 63 of A-Z, a-z, 0-9, ., _ and -';

/** A name of a customer, configuration, model, box or data centre: short, and safe in a URL path. */
export const nameSchema = z.string(NAME_RULE).regex(/^[a-z0-9][a-z0-9-]{0,62}$/, NAME_RULE);

/** A version of a model or template. */
export const versionSchema = z.string(VERSION_RULE).regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, VERSION_RULE);

/** A SHA-256 in lower-case hex. */
export const digestSchema = z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hex digits');

/** An index or a count. */
export const countSchema = z.number().int().nonnegative();

/** The kind of a process of the system. */
export const roleSchema = z.enum(['entry', 'agent']);
export type Role = z.infer<typeof roleSchema>;
