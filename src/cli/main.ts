#!/usr/bin/env node
/** The command line of larklatch. */
import meow from 'meow';
import { CliError } from './cliError.js';
import type { Flags } from './daemonCommand.js';
import { EXIT } from './exitCodes.js';
import { HELP } from './helpText.js';
import { runCommand } from './runCommand.js';

const cli = meow(HELP, {
  importMeta: import.meta,
  autoHelp: false,
  booleanDefault: undefined,
  flags: {
    set: { type: 'string', isMultiple: true },
    json: { type: 'boolean' },
    help: { type: 'boolean' },
    ifMatch: { type: 'string' },
    changeId: { type: 'string' },
    file: { type: 'string' },
    keyFile: { type: 'string' },
    template: { type: 'string' },
    timeoutSeconds: { type: 'number' },
  },
});

try {
  await runCommand(cli.input.map(String), cli.flags as Flags);
} catch (error) {
  const known = error instanceof CliError ? error : new CliError(EXIT.failed, [String(error)]);
  for (const line of known.lines) console.error(`larklatch: ${line}`);
  process.exitCode = known.exitCode;
}
