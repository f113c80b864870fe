/** Opens a connection to see whether a process listens at an address. */
import net from 'node:net';
import { errorCode } from './stepError.js';

/** If the box does not answer within this time, the outcome is 'silent'. */
const TIMEOUT_MILLISECONDS = 300;

/** The outcome if no process listens at the address. */
export const CONNECTION_REFUSED = 'ECONNREFUSED';

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
