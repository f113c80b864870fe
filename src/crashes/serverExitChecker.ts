/** Tells whether a server's process has exited or only closed a connection, as running servers do too. */
import type { EventLog } from '../telemetry/eventLog.js';
import { CONNECTION_REFUSED, connectOutcome } from '../utils/connectProbe.js';
import { splitAddress } from '../utils/hostPort.js';

/** One process of a server. */
export interface ServerProcess {
  id: string;
  /** host:port. */
  address: string;
  /** When the process started, in Unix milliseconds by the server's clock; 0 if unknown. */
  startedAt: number;
}

/** Whether the process of a server runs, by a check. */
export type ProcessState = 'running' | 'exited';

/**
 * Checks by opening a connection. Each server has at most one check at a time, however many requests it broke off.
 */
export class ServerExitChecker {
  private readonly _log: EventLog;
  private readonly _checks = new Map<string, Promise<ProcessState>>();

  constructor(log: EventLog) {
    this._log = log;
  }

  /** Resolves to whether the process that closed a connection has exited. Never rejects. */
  async hasExited(server: ServerProcess): Promise<boolean> {
    return (await this.processState(server)) === 'exited';
  }

  /** Resolves to the state of the process that closed a connection. Never rejects. */
  async processState(server: ServerProcess): Promise<ProcessState> {
    const earlier = this._checks.get(server.id);
    // A check that began before this call may have connected before the exit.
    if (earlier && (await earlier) === 'exited') return 'exited';
    return await (this._checks.get(server.id) ?? this._begin(server));
  }

  private async _begin(server: ServerProcess): Promise<ProcessState> {
    const check = this._check(server).finally(() => this._checks.delete(server.id));
    this._checks.set(server.id, check);
    return await check;
  }

  private async _check({ id, address }: ServerProcess): Promise<ProcessState> {
    const outcome = await connectOutcome(...splitAddress(address));
    const ended = outcome === CONNECTION_REFUSED;
    this._log.decision('server.checked', { server: id, ended, outcome });
    return ended ? 'exited' : 'running';
  }
}
