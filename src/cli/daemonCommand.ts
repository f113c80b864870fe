/** `larklatch entry` and `larklatch agent`: runs a daemon until it receives a signal to stop. */
import { agentSettingsSchema } from '../settings/agentSettings.js';
import { entrySettingsSchema } from '../settings/entrySettings.js';
import type { SettingsSchema } from '../settings/settingsParser.js';
import { parseSettings, problemLines } from '../settings/settingsParser.js';
import type { z } from 'zod';
import { enableLogs, flushLogs } from '../telemetry/logger.js';
import { CliError } from './cliError.js';
import { EXIT } from './exitCodes.js';

/** The interface that both daemons implement. */
interface Daemon {
  start(): Promise<{ httpPort: number; controlPort: number }>;
  stop(): Promise<void>;
}

/** Command-line flags by name. */
export type Flags = Record<string, unknown>;

/** Reads settings from flags and the environment; throws a CliError that lists all invalid ones. */
export function checkSettings<Schema extends SettingsSchema>(schema: Schema, flags: Flags): z.infer<Schema> {
  const parsed = parseSettings(schema, flags, process.env);
  if (parsed.isErr()) throw new CliError(EXIT.wrongInput, problemLines(parsed.error));
  return parsed.value;
}

/** Runs `larklatch agent`. */
export async function runAgent(flags: Flags): Promise<void> {
  const settings = checkSettings(agentSettingsSchema, flags);
  enableLogs(settings.log);
  const { AgentDaemon } = await import('../agent/agentDaemon.js');
  await runUntilStopped(new AgentDaemon(settings), settings.box);
}

/** Runs `larklatch entry`. */
export async function runEntry(flags: Flags): Promise<void> {
  const settings = checkSettings(entrySettingsSchema, flags);
  enableLogs(settings.log);
  const { EntryDaemon } = await import('../entry/entryDaemon.js');
  await runUntilStopped(new EntryDaemon(settings), settings.box);
}

/**
 * Starts the daemon and prints its ports as one JSON line. SIGTERM, which supervisors may repeat, and SIGINT stop it
 * gracefully; another SIGINT exits at once.
 */
export async function runUntilStopped(daemon: Daemon, box: string): Promise<void> {
  const ports = await daemon.start();
  console.log(JSON.stringify({ event: 'listening', box, ...ports }));
  let stopping = false;
  const stop = (): void => {
    if (stopping) return;
    stopping = true;
    void daemon
      .stop()
      .then(flushLogs)
      .then(() => process.exit(EXIT.ok));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', () => (stopping ? process.exit(EXIT.failed) : stop()));
}
