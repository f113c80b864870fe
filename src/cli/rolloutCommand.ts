/** `larklatch rollout status|watch`. */
import type { RolloutStatus } from '../entry/rolloutStatusReader.js';
import { CliError } from './cliError.js';
import type { Flags } from './daemonCommand.js';
import { EXIT } from './exitCodes.js';
import type { OperatorClient } from './operatorClient.js';

const POLL_MILLISECONDS = 250;
const DEFAULT_TIMEOUT_SECONDS = 600;
const BAR_WIDTH = 24;

/** Returns the status at once, or shows the progress and returns the status once the rollout is complete. */
export async function runRolloutCommand(
  client: OperatorClient,
  args: string[],
  flags: Flags,
): Promise<unknown> {
  const [verb, customer, configuration] = args;
  if (!customer || !configuration || (verb !== 'status' && verb !== 'watch')) {
    throw new CliError(EXIT.wrongInput, ['usage: larklatch rollout status|watch CUSTOMER NAME']);
  }
  const path = `/v1/rollouts/${encodeURIComponent(customer)}/${encodeURIComponent(configuration)}`;
  const read = async (): Promise<RolloutStatus> =>
    (await client.send({ method: 'GET', path })) as RolloutStatus;
  return verb === 'status' ? await read() : await watch(read, flags);
}

async function watch(read: () => Promise<RolloutStatus>, flags: Flags): Promise<RolloutStatus> {
  const seconds = Number(flags['timeoutSeconds'] ?? DEFAULT_TIMEOUT_SECONDS);
  const deadline = performance.now() + seconds * 1000;
  let lastLine = '';
  while (performance.now() < deadline) {
    const status = await read();
    if (!flags['json']) lastLine = showProgress(status, lastLine);
    if (isComplete(status)) {
      if (process.stdout.isTTY && !flags['json']) process.stdout.write('\n');
      return status;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
  throw new CliError(EXIT.notComplete, [
    `not complete after ${seconds} s; run "larklatch rollout status" to see what holds it back`,
  ]);
}

/** Whether all live boxes serve the target version, or none serves the configuration after its withdrawal. */
export function isComplete(status: RolloutStatus): boolean {
  if (status.withdrawn) return status.phase === 'withdrawn';
  return status.phase === 'complete' && status.replicas === status.boxes;
}

/** Returns one line: phase, progress bar of chunks, serving boxes, bytes from the origin, and what holds it back. */
export function progressLine(status: RolloutStatus): string {
  const heldChunks = status.perBox.reduce((sum, box) => sum + box.heldChunks, 0);
  const totalChunks = status.perBox.reduce((sum, box) => sum + box.totalChunks, 0);
  const fraction = totalChunks === 0 ? 0 : heldChunks / totalChunks;
  const bar = '#'.repeat(Math.round(fraction * BAR_WIDTH)).padEnd(BAR_WIDTH, '.');
  const copies = status.bytes.total === 0 ? 0 : status.bytes.origin / status.bytes.total;
  const heldBack = status.heldBackBy.length > 0 ? `  held back by: ${status.heldBackBy.join(', ')}` : '';
  const percent = `${Math.floor(fraction * 100)}%`.padStart(4);
  return (
    `${status.phase.padEnd(9)} [${bar}]${percent}  version ${status.wantedVersion}  ` +
    `${status.replicas}/${status.boxes} boxes  origin ${copies.toFixed(2)} copies${heldBack}`
  );
}

/** Overwrites the progress line on a terminal; otherwise prints it when it has changed. */
function showProgress(status: RolloutStatus, lastLine: string): string {
  const line = progressLine(status);
  if (process.stdout.isTTY) process.stdout.write(`\r\u001b[K${line}`);
  else if (line !== lastLine) console.log(line);
  return line;
}
