/** `larklatch rollout status|watch`. */
import type { RolloutStatus } from '../entry/rolloutStatusReader.js';
import { CliError } from './cliError.js';
import type { Flags } from './daemonCommand.js';
import { EXIT } from './exitCodes.js';
import type { OperatorClient } from './operatorClient.js';

const POLL_MILLISECONDS = 250;
const DEFAULT_TIMEOUT_SECONDS = 600;
const BAR_WIDTH = 24;

/** Prints the status once, or follows it until the rollout is complete. */
export async function runRolloutCommand(
  client: OperatorClient,
  words: string[],
  flags: Flags,
): Promise<unknown> {
  const [verb, customer, configuration] = words;
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
  let shown = '';
  while (performance.now() < deadline) {
    const status = await read();
    if (!flags['json']) shown = show(status, shown);
    if (isComplete(status)) {
      if (process.stdout.isTTY && !flags['json']) process.stdout.write('\n');
      return status;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
  throw new CliError(EXIT.notComplete, [
    `not complete after ${seconds} s; larklatch rollout status tells what holds it back`,
  ]);
}

/** Whether what is wanted is in service on all live boxes, or nowhere once it is withdrawn. */
export function isComplete(status: RolloutStatus): boolean {
  if (status.withdrawn) return status.phase === 'withdrawn';
  return status.phase === 'complete' && status.replicas === status.boxes;
}

/** One line: phase, a bar of chunks, boxes in service, bytes, and what holds it back. */
export function progressLine(status: RolloutStatus): string {
  const held = status.perBox.reduce((sum, box) => sum + box.heldChunks, 0);
  const total = status.perBox.reduce((sum, box) => sum + box.totalChunks, 0);
  const part = total === 0 ? 0 : held / total;
  const bar = '#'.repeat(Math.round(part * BAR_WIDTH)).padEnd(BAR_WIDTH, '.');
  const copies = status.bytes.total === 0 ? 0 : status.bytes.origin / status.bytes.total;
  const heldBack = status.heldBackBy.length > 0 ? `  held back by: ${status.heldBackBy.join(', ')}` : '';
  const percent = `${Math.floor(part * 100)}%`.padStart(4);
  return (
    `${status.phase.padEnd(9)} [${bar}]${percent}  version ${status.wantedVersion}  ` +
    `${status.replicas}/${status.boxes} boxes  origin ${copies.toFixed(2)} copies${heldBack}`
  );
}

/** Rewrites the line on a terminal; elsewhere prints each line that is new. */
function show(status: RolloutStatus, shown: string): string {
  const line = progressLine(status);
  if (process.stdout.isTTY) process.stdout.write(`\r\u001b[K${line}`);
  else if (line !== shown) console.log(line);
  return line;
}
