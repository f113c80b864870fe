/** What the clients of a process may take together. */
import { ConnectionLimit } from './connectionLimit.js';
import { machineClientConnections, machineClientMegabytes } from './machineLimits.js';
import { MemoryBudget } from './memoryBudget.js';

/** What is not set follows from the machine. */
export interface ClientLimitSettings {
  /** Memory for what clients have sent and what is owed to them. */
  clientMegabytes?: number;
  /** Connections of clients. */
  clientConnections?: number;
}

/** What the limits have led to since the last report. */
export interface LimitReport {
  [name: string]: number;
  /** Requests, answers and connections that were ended to make room for others. */
  evicted: number;
  /** Requests and connections for which there was no room. */
  refused: number;
  /** Connections that were closed since there were too many. */
  connectionsClosed: number;
  /** Memory that is counted now. */
  bytes: number;
}

/** Where the limits say that they hold clients back. */
export interface LimitLog {
  state(step: string, report: LimitReport): void;
}

export interface ClientLimitOptions {
  log: LimitLog;
  /** Whether checks, metrics or the directory have addresses of their own. */
  hasSideAddresses?: boolean;
}

/** Part of the connections that is set aside for side addresses, if there are any. */
const SIDE_PART = 0.125;
/** Least time between two reports, since a crowd may press for long. */
const REPORT_MILLISECONDS = 5_000;

export class ClientLimits {
  readonly memory: MemoryBudget;
  /** Connections to the address of requests. */
  readonly connections: ConnectionLimit;
  /** Connections to side addresses, which stay reachable while callers use up theirs. */
  readonly sideConnections: ConnectionLimit;
  private readonly _log: LimitLog;
  private _reported = { evicted: 0, refused: 0, connectionsClosed: 0 };
  private _reportedAt = -Infinity;

  constructor(settings: ClientLimitSettings, { log, hasSideAddresses = false }: ClientLimitOptions) {
    const connections = settings.clientConnections ?? machineClientConnections();
    const side = hasSideAddresses ? Math.max(1, Math.floor(connections * SIDE_PART)) : 0;
    this.memory = new MemoryBudget(settings.clientMegabytes ?? machineClientMegabytes());
    this.connections = new ConnectionLimit(Math.max(1, connections - side));
    this.sideConnections = new ConnectionLimit(side);
    this._log = log;
  }

  /** Connections that were closed because of the limits since the start. */
  get connectionsClosed(): number {
    return this.connections.closed + this.sideConnections.closed;
  }

  /** Call about once a second: returns memory to the system, and reports. `now` is in monotonic milliseconds. */
  check(now: number): void {
    this.memory.reclaim();
    const { evicted, refused } = this.memory;
    const total = { evicted, refused, connectionsClosed: this.connectionsClosed };
    const before = this._reported;
    const isNew =
      total.evicted + total.refused + total.connectionsClosed >
      before.evicted + before.refused + before.connectionsClosed;
    if (!isNew || now - this._reportedAt < REPORT_MILLISECONDS) return;
    this._reported = total;
    this._reportedAt = now;
    this._log.state('clients.limited', {
      evicted: total.evicted - before.evicted,
      refused: total.refused - before.refused,
      connectionsClosed: total.connectionsClosed - before.connectionsClosed,
      bytes: this.memory.bytes,
    });
  }
}
