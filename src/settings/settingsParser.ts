/** Reads settings from flags and environment variables and validates them with a schema. */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { z } from 'zod';

/** An invalid setting. */
export interface SettingProblem {
  /** The command-line flag, such as `--data-centre`. */
  flag: string;
  /** The environment variable of the same setting. */
  variable: string;
  value: string;
  allowed: string;
}

/** An object schema with one field per setting. */
export type SettingsSchema = z.ZodObject<z.ZodRawShape>;

/** Returns `--object-api-url` for `objectApiUrl`. */
export function flagOf(name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

/** Returns `LARKLATCH_OBJECT_API_URL` for `objectApiUrl`. */
export function variableOf(name: string): string {
  return `LARKLATCH_${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
}

/** Reads each setting from its flag, its environment variable or its default, in this order of precedence. */
export function parseSettings<Schema extends SettingsSchema>(
  schema: Schema,
  flags: Record<string, unknown>,
  environment: Record<string, string | undefined>,
): Result<z.infer<Schema>, SettingProblem[]> {
  const raw: Record<string, unknown> = {};
  for (const name of Object.keys(schema.shape)) {
    const value = flags[name] ?? environment[variableOf(name)];
    if (value !== undefined) raw[name] = value;
  }
  const parsed = schema.safeParse(raw);
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.map((issue) => problemOf(issue, raw)));
}

/** Returns one line per problem, for the user. */
export function problemLines(problems: readonly SettingProblem[]): string[] {
  return problems.map(
    ({ flag, variable, value, allowed }) => `${flag} (or ${variable}): got ${value}; allowed: ${allowed}`,
  );
}

function problemOf(issue: z.core.$ZodIssue, raw: Record<string, unknown>): SettingProblem {
  const name = String(issue.path[0] ?? 'settings');
  const value = raw[name] === undefined ? 'nothing' : JSON.stringify(raw[name]);
  return { flag: flagOf(name), variable: variableOf(name), value, allowed: issue.message };
}
