/** Schemas and types of the protocol that other folders build their own schemas from. */
export { countSchema, digestSchema, nameSchema, roleSchema, versionSchema } from './names.js';
export type { Role } from './names.js';
export { distributionSchema, memberSchema, serviceKindSchema } from './rolloutMessages.js';
export type { Distribution, Member, ServiceKind } from './rolloutMessages.js';
