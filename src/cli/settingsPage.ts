/** Generates docs/SETTINGS.md, the reference of all settings, from the schemas. */
import type { z } from 'zod';
import { agentSettingsSchema } from '../settings/agentSettings.js';
import { entrySettingsSchema } from '../settings/entrySettings.js';
import { gatewaySettingsSchema } from '../settings/gatewaySettings.js';
import { stagingSettingsSchema } from '../settings/stagingSettings.js';
import type { SettingsSchema } from '../settings/settingsParser.js';
import { flagOf, variableOf } from '../settings/settingsParser.js';

/** Returns the content of docs/SETTINGS.md. */
export function settingsPage(): string {
  return [
    '# Settings',
    '',
    'Made by `node scripts/writeSettings.mjs`; a test checks that it is up to date.',
    '',
    '## `larklatch entry`',
    '',
    ...table(entrySettingsSchema),
    '',
    '## `larklatch agent`',
    '',
    ...table(agentSettingsSchema),
    '',
    '## On the platform: gateway',
    '',
    'On the platform, the adapter fills these from the settings file.',
    '',
    ...table(gatewaySettingsSchema),
    '',
    '## On the platform: staging agent',
    '',
    ...table(stagingSettingsSchema),
    '',
  ].join('\n');
}

function table(schema: SettingsSchema): string[] {
  const rows = Object.entries(schema.shape).map(([name, field]) => row(name, field as z.ZodType));
  return ['| flag | variable | meaning | default |', '| --- | --- | --- | --- |', ...rows];
}

function row(name: string, field: z.ZodType): string {
  const parsedDefault = field.safeParse(undefined);
  const defaultText = parsedDefault.success
    ? parsedDefault.data === undefined
      ? 'none'
      : `\`${String(parsedDefault.data)}\``
    : 'required';
  return `| \`${flagOf(name)}\` | \`${variableOf(name)}\` | ${field.description ?? ''} | ${defaultText} |`;
}
