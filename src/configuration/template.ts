/** Templates of rollouts and the configurations that fill them. */
import { z } from 'zod';
import { distributionSchema, nameSchema, serviceKindSchema, versionSchema } from '../protocol/index.js';

const parameterBase = { description: z.string().max(500).optional() };
const MAXIMUM_BOXES = 10_000;

/** A typed parameter with its default and bounds. */
export const parameterSchema = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('name'), default: nameSchema.optional(), ...parameterBase }),
  z.strictObject({ type: z.literal('version'), default: versionSchema.optional(), ...parameterBase }),
  z.strictObject({ type: z.literal('boxes'), default: z.array(nameSchema).optional(), ...parameterBase }),
  z.strictObject({
    type: z.literal('number'),
    minimum: z.number().optional(),
    maximum: z.number().optional(),
    default: z.number().optional(),
    ...parameterBase,
  }),
  z.strictObject({
    type: z.literal('choice'),
    choices: z.array(z.string()).min(1),
    default: z.string().optional(),
    ...parameterBase,
  }),
]);
export type Parameter = z.infer<typeof parameterSchema>;

/** What trades time to replicas against origin bytes: see docs/OPERATIONS.md. */
export const urgencySchema = z.enum(['time', 'origin-bytes']);
export type Urgency = z.infer<typeof urgencySchema>;

/** `together`: all boxes at one moment. `rolling`: each box as soon as it is ready. */
export const switchModeSchema = z.enum(['together', 'rolling']);

/** Everything that a rollout needs to know. */
export const specificationSchema = z.strictObject({
  kind: serviceKindSchema.default('model'),
  model: nameSchema,
  version: versionSchema,
  boxes: z.array(nameSchema).min(1).max(MAXIMUM_BOXES),
  urgency: urgencySchema.default('time'),
  switch: switchModeSchema.default('together'),
  /** Boxes that must be ready before any switches. */
  leastReadyReplicas: z.number().int().min(1).default(1),
  /** Most that may be drawn from the origin, in copies of the version. */
  originBudgetCopies: z.number().min(1).max(1_000).default(1.25),
  /** The customer's share of a box and of the origin beside other customers. */
  weight: z.number().positive().max(100).default(1),
  distribution: distributionSchema.default('exchange'),
});
export type Specification = z.infer<typeof specificationSchema>;

/** A value that a template leaves to a parameter. */
const parameterReferenceSchema = z.strictObject({ parameter: z.string() });

/** `rollout` gives each field of a {@link Specification} as a value or as a reference to a parameter. */
export const templateSchema = z.strictObject({
  parameters: z.record(nameSchema, parameterSchema),
  rollout: z.partialRecord(
    z.enum(Object.keys(specificationSchema.shape) as [keyof Specification, ...(keyof Specification)[]]),
    z.unknown(),
  ),
});
export type Template = z.infer<typeof templateSchema>;

/** Names a template and fills its parameters. */
export const configurationSchema = z.strictObject({
  template: nameSchema,
  parameters: z.record(z.string(), z.unknown()).default({}),
});
export type Configuration = z.infer<typeof configurationSchema>;

/** A customer: digests of its API keys (SHA-256, hex) and its weight beside others. */
export const customerSchema = z.strictObject({
  keyDigests: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hex'))
    .min(1)
    .max(100),
});
export type Customer = z.infer<typeof customerSchema>;

/** Returns the parameter that a template value refers to, if it does. */
export function referenceOf(value: unknown): string | undefined {
  const parsed = parameterReferenceSchema.safeParse(value);
  return parsed.success ? parsed.data.parameter : undefined;
}
