/**
 * Names that other programs, stored data and operators' tools know: each on the list is still accepted by a schema, or produced by
 * a codec, a metric or a log line. A rename of one of them breaks processes of the build before and data that they wrote.
 */
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { expect } from 'earl';
import { HELP } from '../src/cli/helpText.js';
import { HEADER } from '../src/protocol/headers.js';
import { challengeSchema, helloSchema, welcomeSchema } from '../src/protocol/handshake.js';
import { manifestSchema } from '../src/protocol/manifest.js';
import { messageSchema } from '../src/protocol/message.js';
import { recordSchema } from '../src/protocol/replicationMessages.js';
import { OWN_HEADER_NAMES } from '../src/serving/headerNames.js';
import { agentSettingsSchema } from '../src/settings/agentSettings.js';
import { entrySettingsSchema } from '../src/settings/entrySettings.js';
import { gatewaySettingsSchema } from '../src/settings/gatewaySettings.js';
import { variableOf } from '../src/settings/settingsParser.js';
import { stagingSettingsSchema } from '../src/settings/stagingSettings.js';
import { PLATFORM_HEADER_NAMES } from '../platform/headers.js';
import { schemaNames } from './fixtures/schemaNames.js';
import { readSourceNames } from './fixtures/sourceNames.js';
import type { SourceNames } from './fixtures/sourceNames.js';

/** Returns the listed names by section. */
function readSections(): Map<string, string[]> {
  const sections = new Map<string, string[]>();
  for (const block of readFileSync('tests/outerNames.txt', 'utf8').split('\n\n').slice(1)) {
    const [title, ...names] = block.trim().split('\n');
    sections.set(title.slice('# '.length), names);
  }
  return sections;
}

const SECTIONS = readSections();
const SOURCE = readSourceNames();
const SETTINGS = [agentSettingsSchema, entrySettingsSchema, gatewaySettingsSchema, stagingSettingsSchema];
const CONTROL = schemaNames([
  messageSchema,
  challengeSchema,
  helloSchema,
  welcomeSchema,
  manifestSchema,
  recordSchema,
]);
const HEADERS = new Set(
  [HEADER, OWN_HEADER_NAMES, PLATFORM_HEADER_NAMES].flatMap((names) => Object.values(names) as string[]),
);
const STRINGS = [...SOURCE.strings.keys()];

/** Whether the source uses a name as that kind, in a file of one of `folders`. */
function uses(kind: keyof SourceNames, name: string, ...folders: string[]): boolean {
  const files = [...(SOURCE[kind].get(name) ?? [])];
  return files.some((file) => folders.length === 0 || folders.some((folder) => file.startsWith(folder)));
}

function isMetric(name: string): boolean {
  return [...SOURCE.metrics.keys()].some((series) => series === name || series.startsWith(`${name}{`));
}

/** Whether a variable is made from a setting of a program or of the command line, or is written out. */
function isVariable(name: string): boolean {
  const settings = [...SOURCE.schemaKeys.keys()].map(variableOf);
  return settings.includes(name) || uses('strings', name);
}

const CHECKS: Record<string, (name: string) => boolean> = {
  'settings of our programs': (name) => SETTINGS.some((schema) => name in schema.shape),
  "fields of the platform's settings file": (name) => uses('schemaKeys', name, 'platform/settings.ts'),
  "fields of the platform's records, reports and answers": (name) => uses('schemaKeys', name, 'platform/'),
  'fields of control messages': (name) => CONTROL.fields.has(name),
  'values in control messages': (name) => CONTROL.values.has(name),
  'stored fields, and fields of templates': (name) => uses('schemaKeys', name, 'src/'),
  'values in stored records and templates': (name) => uses('schemaValues', name, 'src/'),
  'values and parameters of the platform': (name) =>
    uses('strings', name, 'platform/') || uses('keys', name, 'platform/'),
  headers: (name) => HEADERS.has(name) || uses('strings', name, 'platform/'),
  paths: (name) => STRINGS.some((text) => text.includes(name)),
  'query parameters': (name) => uses('strings', name) || STRINGS.some((text) => text.includes(`${name}=`)),
  'environment variables': isVariable,
  'commands and flags': (name) => HELP.split(/[\s|[\]]+/).includes(name),
  metrics: isMetric,
  'labels of metrics': (name) => STRINGS.some((text) => text.includes(`${name}="`)),
  'values of labels of metrics': (name) => uses('strings', name),
  'steps of log lines': (name) => uses('logSteps', name),
  'steps of errors': (name) => uses('errorSteps', name) || uses('strings', name),
  'fields of log lines': (name) => uses('logFields', name) || uses('keys', name, 'src/telemetry', 'src/cli'),
  'values in log lines and in answers': (name) => uses('strings', name),
  'fields of answers over HTTP': (name) => uses('keys', name, 'src/'),
};

test('should check every section of the list', () => {
  expect([...SECTIONS.keys()].sort()).toEqual(Object.keys(CHECKS).sort());
});

for (const [section, names] of SECTIONS) {
  test(`should keep ${section}`, () => {
    expect(names.length).toBeGreaterThan(0);
    expect(names.filter((name) => !CHECKS[section]?.(name))).toEqual([]);
  });
}
