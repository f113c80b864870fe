/** Help texts of the command line. */
import type { z } from 'zod';
import type { SettingsSchema } from '../settings/settingsParser.js';
import { flagOf, variableOf } from '../settings/settingsParser.js';

export const HELP = `
  Usage
    $ larklatch entry [settings]                      run an entry
    $ larklatch agent [settings]                      run an agent
    $ larklatch template put NAME --file FILE         publish or change a template
    $ larklatch customer put NAME --key-file FILE     register a customer with its API key
    $ larklatch configuration put CUSTOMER NAME --template TEMPLATE --set PARAMETER=VALUE ...
    $ larklatch template|customer|configuration get|delete NAME...
    $ larklatch template|customer|configuration list
    $ larklatch rollout status|watch CUSTOMER NAME    show the progress of a rollout
    $ larklatch entries --api-key KEY                 list the entries that a caller can use
    $ larklatch check entry|agent [settings]          check settings without starting
    $ larklatch check gateway|staging [settings]      check settings of the daemons that run on the platform
    $ larklatch check template --file FILE            check a template without publishing
    $ larklatch losses [--pause-milliseconds N] < log count how requests ended, by second and by route
    $ larklatch explain REQUEST-ID < log              list the log lines of one request, from several processes

  Options of operator commands
    --entry-url URL        base URL of an entry (LARKLATCH_ENTRY_URL)
    --operator-key KEY     key of the operators (LARKLATCH_OPERATOR_KEY)
    --if-match REVISION    change the object only at this revision; 0: only if it does not exist
    --change-id ID         id of the change; a change that is repeated with the same id is applied once
    --json                 print compact JSON and no progress
    --timeout-seconds N    longest time that "rollout watch" waits (600)

  Exit codes
    0 success   1 failure   2 invalid input   3 conflict: the object has another revision
    4 unavailable, or outcome unknown: repeat the command with the same --change-id
    5 the rollout was not complete in time

  Examples
    $ larklatch template put chat --file template.json
    $ larklatch configuration put studio advisor --template chat --set version=v2
    $ larklatch rollout watch studio advisor

  Settings of a daemon: larklatch check entry --help, larklatch check agent --help
`;

/** Returns a line per setting: flag, variable, meaning and default. */
export function settingsHelp(schema: SettingsSchema): string {
  const lines = Object.entries(schema.shape).map(([name, field]) => {
    const described = field as z.ZodType;
    const parsedDefault = described.safeParse(undefined);
    const defaultText = parsedDefault.success
      ? `default ${JSON.stringify(parsedDefault.data) ?? 'none'}`
      : 'required';
    return `  ${flagOf(name).padEnd(30)} ${variableOf(name).padEnd(42)} ${described.description ?? ''} (${defaultText})`;
  });
  return lines.join('\n');
}
