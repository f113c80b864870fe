/** Tells whether a server's process has exited or only closed a connection, as running servers do too. */
import type { EventLog } from '../telemetry/eventLog.js';
import type { ProcessState } from '../utils/connectProbe.js';
import { connectOutcome, processStateOf } from '../utils/connectProbe.js';
import { splitAddress } from '../utils/hostPort.js';

/** One process of a server. */
export interface ServerProcess {
  id: string;
  /** host:port. */
  address: string;
  /** When the process started, in Unix milliseconds by the server's clock; 0 if unknown. */
  startedAt: number;
}

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
    const state = processStateOf(outcome);
    this._log.decision('server.checked', { server: id, ended: state === 'exited', outcome });
    return state;
  }
}
