/** `larklatch template|customer|configuration put|get|delete|list`. */
import { readFileSync } from 'node:fs';
import { sha256Hex } from '../utils/hash.js';
import { errorText } from '../utils/stepError.js';
import { CliError } from './cliError.js';
import type { Flags } from './daemonCommand.js';
import { EXIT } from './exitCodes.js';
import type { OperatorClient } from './operatorClient.js';

/** Kinds of objects that operators manage. */
export type ObjectKind = 'template' | 'customer' | 'configuration';

const NAMES: Record<ObjectKind, string> = {
  template: 'NAME',
  customer: 'NAME',
  configuration: 'CUSTOMER NAME',
};

/** Runs one verb and returns the value to print. */
export async function runObjectCommand(
  client: OperatorClient,
  kind: ObjectKind,
  [verb, ...names]: string[],
  flags: Flags,
): Promise<unknown> {
  if (verb === 'list') return await client.send({ method: 'GET', path: `/v1/${kind}s` });
  if (names.length !== NAMES[kind].split(' ').length) {
    throw new CliError(EXIT.wrongInput, [
      `usage: larklatch ${kind} ${verb ?? 'put|get|delete|list'} ${NAMES[kind]}`,
    ]);
  }
  const path = `/v1/${kind}s/${names.map(encodeURIComponent).join('/')}`;
  const change = { ifMatch: textFlag(flags, 'ifMatch'), changeId: textFlag(flags, 'changeId') };
  if (verb === 'get') return await client.send({ method: 'GET', path });
  if (verb === 'delete') return await client.send({ method: 'DELETE', path, ...change });
  if (verb === 'put')
    return await client.send({ method: 'PUT', path, body: bodyFor(kind, flags), ...change });
  throw new CliError(EXIT.wrongInput, [
    `unknown verb ${JSON.stringify(verb)}; allowed: put, get, delete, list`,
  ]);
}

/** Reads the JSON file of `--file`; throws a CliError when that fails. */
export function readJsonFile(flags: Flags): unknown {
  const file = textFlag(flags, 'file');
  if (!file) throw new CliError(EXIT.wrongInput, ['--file: got nothing; allowed: the path of a JSON file']);
  try {
    return JSON.parse(readFileSync(file, 'utf8'));
  } catch (error) {
    throw new CliError(EXIT.wrongInput, [
      `--file: got ${file}; allowed: the path of a JSON file (${errorText(error)})`,
    ]);
  }
}

/** Returns a flag as text; undefined when it is missing or empty. */
export function textFlag(flags: Flags, name: string): string | undefined {
  const value = flags[name];
  return value === undefined || value === '' ? undefined : String(value);
}

function bodyFor(kind: ObjectKind, flags: Flags): unknown {
  if (kind === 'customer' && !flags['file']) return { keyDigests: [sha256Hex(readKeyFile(flags))] };
  if (kind === 'configuration' && !flags['file']) return configurationBody(flags);
  return readJsonFile(flags);
}

function readKeyFile(flags: Flags): string {
  const file = textFlag(flags, 'keyFile');
  if (!file)
    throw new CliError(EXIT.wrongInput, [
      '--key-file: got nothing; allowed: the path of a file with the API key',
    ]);
  return readFileSync(file, 'utf8').trim();
}

function configurationBody(flags: Flags): unknown {
  const template = textFlag(flags, 'template');
  if (!template)
    throw new CliError(EXIT.wrongInput, ['--template: got nothing; allowed: the name of a template']);
  const parameters: Record<string, unknown> = {};
  for (const assignment of (flags['set'] as string[] | undefined) ?? []) {
    const equals = assignment.indexOf('=');
    if (equals < 1)
      throw new CliError(EXIT.wrongInput, [`--set: got ${assignment}; allowed: PARAMETER=VALUE`]);
    parameters[assignment.slice(0, equals)] = parameterValue(assignment.slice(equals + 1));
  }
  return { template, parameters };
}

/** Parses numbers and JSON arrays; any other value remains text. */
function parameterValue(text: string): unknown {
  if (/^-?\d+(\.\d+)?$/.test(text) || text.startsWith('[')) {
    try {
      return JSON.parse(text);
    } catch {
      return text;
    }
  }
  return text;
}
