/**
 * A cheap parser for small, frequent messages. Most processes are idle and run their code unoptimized, where zod takes
 * some 0.1 ms for a message of ten fields.
 */
import type { z } from 'zod';

/** Whether a value is valid. May be false for valid values, never true for invalid ones. */
type Check = (value: unknown) => boolean;

interface Field {
  key: string;
  check: Check;
  isOptional: boolean;
}

type AnyDefinition = z.core.$ZodTypes['_zod']['def'];
type NumberCheckDefinition =
  z.core.$ZodCheckNumberFormatDef | z.core.$ZodCheckGreaterThanDef | z.core.$ZodCheckLessThanDef;

/**
 * Checks the fields of an object as its schema does. It accepts less than the schema: where it returns undefined,
 * the schema decides whether the value is valid, and may fill in defaults.
 */
export class QuickParser {
  private readonly _fields: readonly Field[];

  private constructor(fields: readonly Field[]) {
    this._fields = fields;
  }

  /** Returns the parser for a schema; undefined if it has fields of kinds that only zod can check. */
  static of(schema: z.ZodObject): QuickParser | undefined {
    if (schema.def.catchall || schema.def.checks) return undefined;
    const fields: Field[] = [];
    for (const [key, fieldSchema] of Object.entries(schema.shape)) {
      const definition = definitionOf(fieldSchema);
      const isOptional = definition.type === 'optional';
      const check = checkOf(isOptional ? definitionOf(definition.innerType) : definition);
      if (!check) return undefined;
      fields.push({ key, check, isOptional });
    }
    return new QuickParser(fields);
  }

  /** Returns a copy of `value` without unknown fields; undefined if the schema has to decide. */
  parse(value: object): Record<string, unknown> | undefined {
    const parsed: Record<string, unknown> = {};
    for (const { key, check, isOptional } of this._fields) {
      const field = (value as Record<string, unknown>)[key];
      if (field === undefined && isOptional && !(key in value)) continue;
      if (!check(field)) return undefined;
      parsed[key] = field;
    }
    return parsed;
  }
}

function definitionOf(schema: z.core.$ZodType): AnyDefinition {
  return (schema as z.core.$ZodTypes)._zod.def;
}

function checkOf(definition: AnyDefinition): Check | undefined {
  if (definition.type === 'number') return numberCheck(definition.checks ?? []);
  if (definition.checks) return undefined;
  switch (definition.type) {
    case 'string':
      return definition.coerce === true ? undefined : (value) => typeof value === 'string';
    case 'boolean':
      return definition.coerce === true ? undefined : (value) => typeof value === 'boolean';
    case 'literal':
      return oneOf(definition.values);
    case 'enum':
      return oneOf(Object.values(definition.entries));
    case 'nullable':
      return orNull(checkOf(definitionOf(definition.innerType)));
    case 'default':
      return checkOf(definitionOf(definition.innerType));
    case 'record':
      return recordCheck(definition);
    default:
      return undefined;
  }
}

function oneOf(allowed: readonly unknown[]): Check {
  const values = new Set(allowed);
  return (value) => values.has(value);
}

function orNull(check: Check | undefined): Check | undefined {
  return check && ((value) => value === null || check(value));
}

/** Supports integers and bounds. */
function numberCheck(checks: readonly z.core.$ZodCheck<never>[]): Check | undefined {
  const conditions: ((value: number) => boolean)[] = [];
  for (const { _zod } of checks) {
    const condition = conditionOf(_zod.def as NumberCheckDefinition);
    if (!condition) return undefined;
    conditions.push(condition);
  }
  return (value) => Number.isFinite(value) && conditions.every((condition) => condition(value as number));
}

function conditionOf(definition: NumberCheckDefinition): ((value: number) => boolean) | undefined {
  if (definition.check === 'number_format')
    return definition.format === 'safeint' ? (value) => Number.isSafeInteger(value) : undefined;
  const { check, value: bound, inclusive } = definition;
  if (typeof bound !== 'number') return undefined;
  if (check === 'greater_than') return inclusive ? (value) => value >= bound : (value) => value > bound;
  if (check === 'less_than') return inclusive ? (value) => value <= bound : (value) => value < bound;
  return undefined;
}

function recordCheck({ keyType, valueType }: z.core.$ZodRecordDef): Check | undefined {
  const keys = definitionOf(keyType as z.core.$ZodType);
  const check = checkOf(definitionOf(valueType as z.core.$ZodType));
  if (!check || keys.type !== 'string' || keys.checks) return undefined;
  return (value) => isPlain(value) && Object.values(value).every(check);
}

function isPlain(value: unknown): value is object {
  if (typeof value !== 'object' || value === null) return false;
  return Object.getPrototypeOf(value) === Object.prototype && !Object.hasOwn(value, '__proto__');
}
