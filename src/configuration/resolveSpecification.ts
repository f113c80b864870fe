/** Fills a template with the parameters of a configuration. */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';
import { nameSchema, versionSchema } from '../protocol/index.js';
import type { Configuration, Parameter, Specification, Template } from './template.js';
import { referenceOf, specificationSchema } from './template.js';

/** An invalid field, its value and a description of the allowed values. */
export interface FieldProblem {
  field: string;
  value: unknown;
  allowed: string;
}

/** Returns the specification of the rollout, or all invalid fields. */
export function resolveSpecification(
  template: Template,
  configuration: Configuration,
): Result<Specification, FieldProblem[]> {
  const problems = [
    ...unknownParameters(template, configuration),
    ...invalidParameters(template, configuration),
  ];
  if (problems.length > 0) return err(problems);
  const rollout: Record<string, unknown> = {};
  for (const [field, value] of Object.entries(template.rollout)) {
    const filled = valueOf(value, template, configuration);
    if (filled !== undefined) rollout[field] = filled;
  }
  const parsed = specificationSchema.safeParse(rollout);
  return parsed.success ? ok(parsed.data) : err(problemsOf(parsed.error, rollout, 'rollout'));
}

/** Converts Zod issues to field problems; `prefix` is put before each field name. */
export function problemsOf(error: z.ZodError, input: unknown, prefix = ''): FieldProblem[] {
  return error.issues.map((issue) => {
    const path = issue.path.map(String);
    const field = [prefix, ...path].filter((part) => part !== '').join('.');
    return { field: field || 'body', value: valueAt(input, path), allowed: issue.message };
  });
}

function valueAt(input: unknown, path: readonly string[]): unknown {
  let value = input;
  for (const part of path) value = (value as Record<string, unknown> | undefined)?.[part];
  return value ?? null;
}

function unknownParameters(template: Template, configuration: Configuration): FieldProblem[] {
  const allowed = Object.keys(template.parameters);
  return Object.entries(configuration.parameters)
    .filter(([name]) => !allowed.includes(name))
    .map(([name, value]) => ({
      field: `parameters.${name}`,
      value,
      allowed: `one of ${allowed.join(', ')}`,
    }));
}

function invalidParameters(template: Template, configuration: Configuration): FieldProblem[] {
  const problems: FieldProblem[] = [];
  for (const [name, parameter] of Object.entries(template.parameters)) {
    const value = configuration.parameters[name] ?? parameter.default;
    const field = `parameters.${name}`;
    if (value === undefined) {
      if (isUsed(template, name))
        problems.push({ field, value: null, allowed: `a ${parameter.type}; it has no default` });
      continue;
    }
    const parsed = schemaOf(parameter).safeParse(value);
    if (!parsed.success) problems.push(...problemsOf(parsed.error, value, field));
  }
  return problems;
}

function isUsed(template: Template, name: string): boolean {
  return Object.values(template.rollout).some((value) => referenceOf(value) === name);
}

function schemaOf(parameter: Parameter): z.ZodType {
  switch (parameter.type) {
    case 'name':
      return nameSchema;
    case 'version':
      return versionSchema;
    case 'boxes':
      return z.array(nameSchema).min(1);
    case 'number':
      return z
        .number()
        .min(parameter.minimum ?? Number.MIN_SAFE_INTEGER)
        .max(parameter.maximum ?? Number.MAX_SAFE_INTEGER);
    case 'choice':
      return z.enum(parameter.choices as [string, ...string[]]);
  }
}

function valueOf(value: unknown, template: Template, configuration: Configuration): unknown {
  const name = referenceOf(value);
  if (name === undefined) return value;
  return configuration.parameters[name] ?? template.parameters[name]?.default;
}
