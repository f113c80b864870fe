/** Schemas of rollout templates, of configurations that set their parameters, and of customers. */
import { z } from 'zod';
import { distributionSchema, nameSchema, serviceKindSchema, versionSchema } from '../protocol/index.js';

const parameterBase = { description: z.string().max(500).optional() };
const MAXIMUM_BOXES = 10_000;

/** A typed parameter with an optional default and bounds. */
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

/** Whether a rollout minimises the time until replicas are ready or the bytes from the origin: docs/OPERATIONS.md. */
export const urgencySchema = z.enum(['time', 'origin-bytes']);
export type Urgency = z.infer<typeof urgencySchema>;

/** `together` switches all boxes at the same time, `rolling` switches each box as soon as it is ready. */
export const switchModeSchema = z.enum(['together', 'rolling']);

/** The parameters of a rollout, after a template has been filled. */
export const specificationSchema = z.strictObject({
  kind: serviceKindSchema.default('model'),
  model: nameSchema,
  version: versionSchema,
  boxes: z.array(nameSchema).min(1).max(MAXIMUM_BOXES),
  urgency: urgencySchema.default('time'),
  switch: switchModeSchema.default('together'),
  /** Number of boxes that must be ready before any box switches. */
  leastReadyReplicas: z.number().int().min(1).default(1),
  /** Limit on the bytes that are fetched from the origin, as a multiple of the size of the version. */
  originBudgetCopies: z.number().min(1).max(1_000).default(1.25),
  /** Weight of the customer, relative to other customers, when a box and the origin are shared. */
  weight: z.number().positive().max(100).default(1),
  distribution: distributionSchema.default('exchange'),
});
export type Specification = z.infer<typeof specificationSchema>;

/** A template value that is set by a parameter. */
const parameterReferenceSchema = z.strictObject({ parameter: z.string() });

/** Each field of `rollout` is a value of that field of a {@link Specification}, or a reference to a parameter. */
export const templateSchema = z.strictObject({
  parameters: z.record(nameSchema, parameterSchema),
  rollout: z.partialRecord(
    z.enum(Object.keys(specificationSchema.shape) as [keyof Specification, ...(keyof Specification)[]]),
    z.unknown(),
  ),
});
export type Template = z.infer<typeof templateSchema>;

/** The name of a template and the values of its parameters. */
export const configurationSchema = z.strictObject({
  template: nameSchema,
  parameters: z.record(z.string(), z.unknown()).default({}),
});
export type Configuration = z.infer<typeof configurationSchema>;

/** A customer: SHA-256 digests of its API keys, in hex. */
export const customerSchema = z.strictObject({
  keyDigests: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hex'))
    .min(1)
    .max(100),
});
export type Customer = z.infer<typeof customerSchema>;

/** Returns the name of the parameter that a template value refers to; undefined when the value is not a reference. */
export function referenceOf(value: unknown): string | undefined {
  const parsed = parameterReferenceSchema.safeParse(value);
  return parsed.success ? parsed.data.parameter : undefined;
}
