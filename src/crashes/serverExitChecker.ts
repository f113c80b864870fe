/** Tells the end of a server's process from the end of a connection: a server that lives breaks connections off too. */
import net from 'node:net';
import type { EventLog } from '../telemetry/eventLog.js';
import { splitAddress } from '../utils/hostPort.js';
import { errorCode } from '../utils/stepError.js';

/** One life of a server. */
export interface ServerProcess {
  id: string;
  /** host:port. */
  address: string;
  /** When this life began, in Unix milliseconds by the server's clock; 0 where it is not told. */
  startedAt: number;
}

/** Nobody listens at the address. */
const CONNECTION_REFUSED = 'ECONNREFUSED';
/** A box that says nothing for so long does not tell whether its server has ended. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** Asks by opening a connection. One check at a time for each life, whatever the number of requests that it broke off. */
export class ServerExitChecker {
  private readonly _log: EventLog;
  private readonly _checks = new Map<string, Promise<boolean>>();

  constructor(log: EventLog) {
    this._log = log;
  }

  /** Whether the process that broke a connection off has ended. Never rejects. */
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

/** 'connected', 'silent', or the code of the error. */
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
