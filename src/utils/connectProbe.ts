/** Opens a connection to see whether a process listens at an address. */
import net from 'node:net';
import { errorCode } from './stepError.js';
import { pause } from './timers.js';

/** If the box does not answer within this time, the outcome is 'silent'. */
const TIMEOUT_MILLISECONDS = 300;

const MAX_CHECKS = 3;
const RECHECK_MILLISECONDS = 100;

/**
 * - `running`: a process accepts connections.
 * - `exited`: no process listens.
 * - `unknown`: neither is certain, as when the box is silent or this process has no descriptors left.
 */
export type ProcessState = 'running' | 'exited' | 'unknown';

const STATES: ReadonlyMap<string, ProcessState> = new Map([
  ['connected', 'running'],
  ['ECONNREFUSED', 'exited'],
]);

/** What the outcome of a probe tells of the process at the address. */
export function processStateOf(outcome: string): ProcessState {
  return STATES.get(outcome) ?? 'unknown';
}

/** Repeats a check while its result is `unknown`, for a second or so. Rejects if `check` does. */
export async function settledState(check: () => Promise<ProcessState>): Promise<ProcessState> {
  for (let count = 1; ; count++) {
    const state = await check();
    if (state !== 'unknown' || count === MAX_CHECKS) return state;
    await pause(RECHECK_MILLISECONDS);
  }
}

/** Resolves to 'connected', 'silent', or the code of the error. Never rejects. */
export async function connectOutcome(host: string, port: number): Promise<string> {
  return await new Promise((resolve) => {
    const socket = net.connect({ host, port });
    const finish = (outcome: string): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(outcome);
    };
    const timer = setTimeout(() => finish('silent'), TIMEOUT_MILLISECONDS);
    socket.once('connect', () => finish('connected'));
    socket.once('error', (error) => finish(errorCode(error)));
  });
}
