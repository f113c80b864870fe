/** What all backend servers ask of those that send them requests. */
import { LRUCache } from 'lru-cache';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { ServerBackpressure } from './serverBackpressure.js';

/** Servers that are remembered. Their ids are their own, so that one that has left and is listed again is known. */
const MOST_SERVERS = 10_000;

export class ServerSignals {
  private readonly _clock: Clock;
  private readonly _log: EventLog;
  /** By server id; kept when a server is gone from service discovery, which may lose its record for a while. */
  private readonly _byServer = new LRUCache<string, ServerBackpressure>({ max: MOST_SERVERS });

  constructor(clock: Clock, log: EventLog) {
    this._clock = clock;
    this._log = log;
  }

  /** What the present life of a server asks for. */
  of(server: string): ServerBackpressure {
    return this._byServer.get(server) ?? this.startAnew(server);
  }

  /** The server has started again: nothing that its former life asked for holds. */
  startAnew(server: string): ServerBackpressure {
    const backpressure = new ServerBackpressure(server, this._clock, this._log);
    this._byServer.set(server, backpressure);
    return backpressure;
  }

  /** Servers that name a limit, leave, or want rest from this entry. */
  get counts(): { limited: number; leaving: number; resting: number } {
    const all = [...this._byServer.values()];
    return {
      limited: all.filter(({ isLimited }) => isLimited).length,
      leaving: all.filter(({ isLeaving }) => isLeaving).length,
      resting: all.filter(({ isResting }) => isResting).length,
    };
  }
}
