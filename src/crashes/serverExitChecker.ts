/** Tells whether a server's process has exited or only closed a connection, as running servers do too. */
import net from 'node:net';
import type { EventLog } from '../telemetry/eventLog.js';
import { splitAddress } from '../utils/hostPort.js';
import { errorCode } from '../utils/stepError.js';

/** One process of a server. */
export interface ServerProcess {
  id: string;
  /** host:port. */
  address: string;
  /** When the process started, in Unix milliseconds by the server's clock; 0 if unknown. */
  startedAt: number;
}

/** No process listens at the address. */
const CONNECTION_REFUSED = 'ECONNREFUSED';
/** If the box does not answer within this time, the server does not count as exited. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/**
 * Checks by opening a connection. Each server has at most one check at a time, however many requests it broke off.
 */
export class ServerExitChecker {
  private readonly _log: EventLog;
  private readonly _checks = new Map<string, Promise<boolean>>();

  constructor(log: EventLog) {
    this._log = log;
  }

  /** Resolves to whether the process that broke off a connection has exited. Never rejects. */
  async hasExited(server: ServerProcess): Promise<boolean> {
    const known = this._checks.get(server.id);
    if (known) return await known;
    const check = this._check(server).finally(() => this._checks.delete(server.id));
    this._checks.set(server.id, check);
    return await check;
  }

  private async _check({ id, address }: ServerProcess): Promise<boolean> {
    const outcome = await connectOutcome(address);
    const ended = outcome === CONNECTION_REFUSED;
    this._log.decision('server.checked', { server: id, ended, outcome });
    return ended;
  }
}

/** Returns 'connected', 'silent', or the code of the error. */
async function connectOutcome(address: string): Promise<string> {
  const [host, port] = splitAddress(address);
  return await new Promise((resolve) => {
    const socket = net.connect({ host, port });
    const finish = (outcome: string): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(outcome);
    };
    const timer = setTimeout(() => finish('silent'), CONNECT_TIMEOUT_MILLISECONDS);
    socket.once('connect', () => finish('connected'));
    socket.once('error', (error) => finish(errorCode(error)));
  });
}
