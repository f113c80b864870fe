/** Dispatches the commands of the command line. */
import { z } from 'zod';
import { templateSchema } from '../configuration/template.js';
import { problemsOf } from '../configuration/resolveSpecification.js';
import { sendJson } from '../external/httpClient.js';
import { agentSettingsSchema } from '../settings/agentSettings.js';
import { urlSetting } from '../settings/commonSettings.js';
import { entrySettingsSchema } from '../settings/entrySettings.js';
import { gatewaySettingsSchema } from '../settings/gatewaySettings.js';
import { stagingSettingsSchema } from '../settings/stagingSettings.js';
import type { SettingsSchema } from '../settings/settingsParser.js';
import { CliError } from './cliError.js';
import type { Flags } from './daemonCommand.js';
import { checkSettings, runAgent, runEntry } from './daemonCommand.js';
import { EXIT } from './exitCodes.js';
import { readRequestLog, formatRequestLog } from './explainCommand.js';
import { HELP, settingsHelp } from './helpText.js';
import { formatLosses, readLosses } from './lossTable.js';
import type { ObjectKind } from './objectCommand.js';
import { readJsonFile, runObjectCommand, textFlag } from './objectCommand.js';
import { OperatorClient } from './operatorClient.js';
import { runRolloutCommand } from './rolloutCommand.js';

const OBJECT_KINDS: readonly string[] = ['template', 'customer', 'configuration'];
const DAEMON_SCHEMAS: Record<string, SettingsSchema> = {
  entry: entrySettingsSchema,
  agent: agentSettingsSchema,
  gateway: gatewaySettingsSchema,
  staging: stagingSettingsSchema,
};
const TIMEOUT_MILLISECONDS = 10_000;
/** Longest pause of a stream that is in time, by default: the limit in the users' deployments. */
const LONGEST_PAUSE_MILLISECONDS = 300;

const operatorSettingsSchema = z.object({
  entryUrl: urlSetting,
  operatorKey: z.string('the key of the operators').min(1, 'the key of the operators'),
});

const callerSettingsSchema = z.object({
  entryUrl: urlSetting,
  apiKey: z.string("a customer's API key").min(1, "a customer's API key"),
  dataCentre: z.string().optional(),
});

/** Runs a command; throws a CliError when it is unknown or fails. */
export async function runCommand(args: string[], flags: Flags): Promise<void> {
  const [command, ...rest] = args;
  if (command === 'check') return check(rest[0], flags);
  if (command === 'explain') return await explain(rest[0]);
  if (command === 'losses') return await printLosses(flags);
  if (!command || flags['help']) return console.log(HELP);
  if (command === 'agent') return await runAgent(flags);
  if (command === 'entry') return await runEntry(flags);
  if (command === 'entries') return print(await readEntries(flags), flags);
  if (command === 'rollout') return print(await runRolloutCommand(operatorClient(flags), rest, flags), flags);
  if (OBJECT_KINDS.includes(command)) {
    return print(await runObjectCommand(operatorClient(flags), command as ObjectKind, rest, flags), flags);
  }
  throw new CliError(EXIT.wrongInput, [`unknown command ${JSON.stringify(command)}; see larklatch --help`]);
}

async function explain(request: string | undefined): Promise<void> {
  if (!request) throw new CliError(EXIT.wrongInput, ['usage: larklatch explain REQUEST-ID < log']);
  const lines = await readRequestLog(process.stdin, request);
  if (lines.length === 0)
    throw new CliError(EXIT.failed, [`no log line of request ${request} on standard input`]);
  for (const line of formatRequestLog(lines)) console.log(line);
}

async function printLosses(flags: Flags): Promise<void> {
  const longestPause = Number(textFlag(flags, 'pauseMilliseconds') ?? LONGEST_PAUSE_MILLISECONDS);
  if (!(longestPause > 0)) throw new CliError(EXIT.wrongInput, ['--pause-milliseconds: a number above 0']);
  for (const line of formatLosses(await readLosses(process.stdin, longestPause))) console.log(line);
}

function operatorClient(flags: Flags): OperatorClient {
  const settings = checkSettings(operatorSettingsSchema, flags);
  return new OperatorClient(settings.entryUrl, settings.operatorKey);
}

async function readEntries(flags: Flags): Promise<unknown> {
  const { entryUrl, apiKey, dataCentre } = checkSettings(callerSettingsSchema, flags);
  const answer = await sendJson({
    step: 'entries.read',
    method: 'GET',
    url: `${entryUrl}/v1/entries${dataCentre ? `?dataCentre=${encodeURIComponent(dataCentre)}` : ''}`,
    headers: { authorization: `Bearer ${apiKey}` },
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  });
  if (answer.status !== 200)
    throw new CliError(EXIT.failed, [`${answer.status}: ${JSON.stringify(answer.body)}`]);
  return answer.body;
}

/** Validates settings or a template without starting or publishing anything. */
function check(what: string | undefined, flags: Flags): void {
  const schema = DAEMON_SCHEMAS[what ?? ''];
  if (schema && flags['help']) return console.log(settingsHelp(schema));
  if (schema) checkSettings(schema, flags);
  else if (what === 'template') checkTemplate(flags);
  else
    throw new CliError(EXIT.wrongInput, [
      `cannot check ${JSON.stringify(what)}; allowed: entry, agent, gateway, staging, template`,
    ]);
  console.log(`${what}${textFlag(flags, 'file') ? ` ${textFlag(flags, 'file')}` : ''}: ok`);
}

function checkTemplate(flags: Flags): void {
  const value = readJsonFile(flags);
  const parsed = templateSchema.safeParse(value);
  if (parsed.success) return;
  const problems = problemsOf(parsed.error, value);
  const lines = problems.map(
    ({ field, value: got, allowed }) => `${field}: got ${JSON.stringify(got)}; allowed: ${allowed}`,
  );
  throw new CliError(EXIT.wrongInput, lines);
}

function print(value: unknown, flags: Flags): void {
  console.log(JSON.stringify(value, null, flags['json'] ? 0 : 2));
}
