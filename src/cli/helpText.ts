/** The help of the command line. */
import type { z } from 'zod';
import type { SettingsSchema } from '../settings/settingsParser.js';
import { flagOf, variableOf } from '../settings/settingsParser.js';

export const HELP = `
  Usage
    $ larklatch entry [settings]                      run an entry
    $ larklatch agent [settings]                      run an agent
    $ larklatch template put NAME --file FILE         publish or change a template
    $ larklatch customer put NAME --key-file FILE     make a customer known by its API key
    $ larklatch configuration put CUSTOMER NAME --template TEMPLATE --set PARAMETER=VALUE ...
    $ larklatch template|customer|configuration get|delete NAME...
    $ larklatch template|customer|configuration list
    $ larklatch rollout status|watch CUSTOMER NAME    how far a rollout is
    $ larklatch entries --api-key KEY                 the addresses that callers are given
    $ larklatch check entry|agent [settings]          check settings without starting
    $ larklatch check gateway|staging [settings]      check settings of the daemons that run on the platform
    $ larklatch check template --file FILE            check a template without publishing
    $ larklatch losses [--pause-milliseconds N] < log how requests ended, by second and by route
    $ larklatch explain REQUEST-ID < log              the story of one request from the logs of several processes

  Options of operator commands
    --entry-url URL        an entry (LARKLATCH_ENTRY_URL)
    --operator-key KEY     the operators' key (LARKLATCH_OPERATOR_KEY)
    --if-match REVISION    change only this revision; 0: only if it does not exist
    --change-id ID         name of the change, to send it again safely
    --json                 print JSON
    --timeout-seconds N    longest time that "rollout watch" waits (600)

  Exit codes
    0 done   1 failed   2 wrong input   3 somebody else was first
    4 unavailable or unresolved: send it again with the same --change-id
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
    const standard = described.safeParse(undefined);
    const fallback = standard.success ? `default ${JSON.stringify(standard.data) ?? 'none'}` : 'required';
    return `  ${flagOf(name).padEnd(30)} ${variableOf(name).padEnd(42)} ${described.description ?? ''} (${fallback})`;
  });
  return lines.join('\n');
}
