/** What all backend servers ask of those that send them requests. */
import { EventEmitter } from 'node:events';
import { LRUCache } from 'lru-cache';
import type { ServerNotice } from '../protocol/boxMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { placementHash } from '../utils/hash.js';
import { CoalescedCall } from '../utils/coalescedCall.js';
import type { LimitShare } from './limitShare.js';
import { ServerBackpressure } from './serverBackpressure.js';

/** What the signals work with. */
export interface ServerSignalsOptions {
  clock: Clock;
  log: EventLog;
  /** This entry. */
  box: string;
  /** This entry's part of the requests a second that a server of a data centre takes from all entries. */
  share: (server: string, dataCentre: string, perSecond: number) => LimitShare;
}

/** What is known of a server while service discovery lists it or not. */
interface KnownServer {
  dataCentre: string;
  /** When it started, in Unix milliseconds by its own clock; 0 while that is not known. */
  startedAt: number;
  backpressure: ServerBackpressure;
}

/** Servers that are remembered. Their ids are their own, so that one that has left and is listed again is known. */
const MOST_SERVERS = 10_000;
/** Changes of so long a time are told together: a limit that changes with each answer costs no message for each. */
const GATHER_MILLISECONDS = 100;
/** For so long after it an entry that connects is told of the end of a limit. */
const ENDED_MILLISECONDS = 60_000;
const HASHES = 2 ** 32;

interface ServerSignalsEvents {
  /** Answers to this entry have changed what servers ask of all entries. */
  change: [ServerNotice[]];
}

export class ServerSignals extends EventEmitter<ServerSignalsEvents> {
  private readonly _options: ServerSignalsOptions;
  /** By server id; kept when a server is gone from service discovery, which may lose its record for a while. */
  private readonly _byServer = new LRUCache<string, KnownServer>({ max: MOST_SERVERS });
  /** Servers whose notice is to be told. */
  private readonly _changed = new Set<string>();
  private readonly _telling = new CoalescedCall(
    () => GATHER_MILLISECONDS,
    () => this._tell(),
  );

  constructor(options: ServerSignalsOptions) {
    super();
    this._options = options;
  }

  /** What the life of a server asks for that began at `startedAt`, 0 where that is not known. */
  of(server: string, dataCentre: string, startedAt: number): ServerBackpressure {
    const known = this._livesAt(server, startedAt) ?? this._add(server);
    known.dataCentre = dataCentre;
    known.startedAt = startedAt || known.startedAt;
    return known.backpressure;
  }

  /** Takes what other entries have heard from servers. */
  take(notices: readonly ServerNotice[]): void {
    for (const notice of notices) this._takeOne(notice);
  }

  /** What servers ask of all entries now, for those that have not heard it. */
  notices(): ServerNotice[] {
    return [...this._byServer.keys()].flatMap((server) => {
      const { backpressure } = this._byServer.peek(server)!;
      const { isLimited, isLeaving, demand } = backpressure;
      const isNew = this._options.clock.now() - demand.heardAt < ENDED_MILLISECONDS;
      return isLimited || isLeaving || isNew ? [this._noticeOf(server)] : [];
    });
  }

  close(): void {
    this._telling.cancel();
  }

  /** The server has started again: nothing that its former life asked for holds. */
  startAnew(server: string): void {
    this._byServer.delete(server);
  }

  /** Servers that name a limit, leave, or want no request from this entry for a while. */
  get counts(): { limited: number; leaving: number; backingOff: number } {
    const all = [...this._byServer.values()].map(({ backpressure }) => backpressure);
    return {
      limited: all.filter(({ isLimited }) => isLimited).length,
      leaving: all.filter(({ isLeaving }) => isLeaving).length,
      backingOff: all.filter(({ isBackingOff }) => isBackingOff).length,
    };
  }

  /** What is known of the server, unless of another life than the one that began at `startedAt`; 0 says nothing. */
  private _livesAt(server: string, startedAt: number): KnownServer | undefined {
    const known = this._byServer.get(server);
    const isOther = known && startedAt > 0 && known.startedAt > 0 && startedAt !== known.startedAt;
    return isOther ? undefined : known;
  }

  private _add(server: string): KnownServer {
    const { clock, log, box } = this._options;
    const known: KnownServer = {
      dataCentre: '',
      startedAt: 0,
      backpressure: new ServerBackpressure({
        server,
        clock,
        log,
        share: (perSecond) => this._options.share(server, known.dataCentre, perSecond),
        phase: placementHash(server, box) / HASHES,
        onChange: () => this._onChange(server),
      }),
    };
    this._byServer.set(server, known);
    return known;
  }

  private _onChange(server: string): void {
    this._changed.add(server);
    this._telling.schedule();
  }

  private _tell(): void {
    const changed = [...this._changed].filter((server) => this._byServer.has(server));
    this._changed.clear();
    if (changed.length === 0) return;
    this.emit(
      'change',
      changed.map((server) => this._noticeOf(server)),
    );
  }

  /** A notice of another life says nothing of the present one. */
  private _takeOne({ server, startedAt, limitPerSecond, leaving, heardMilliseconds }: ServerNotice): void {
    const known = this._byServer.has(server) ? this._livesAt(server, startedAt) : this._add(server);
    if (!known) return;
    known.startedAt ||= startedAt;
    known.backpressure.noteTold({
      limitPerSecond: limitPerSecond ?? undefined,
      leaving,
      heardAt: this._options.clock.now() - heardMilliseconds,
    });
  }

  private _noticeOf(server: string): ServerNotice {
    const { startedAt, backpressure } = this._byServer.peek(server)!;
    const { limitPerSecond, leaving, heardAt } = backpressure.demand;
    const heardMilliseconds = Math.max(0, this._options.clock.now() - heardAt);
    return { server, startedAt, limitPerSecond: limitPerSecond ?? null, leaving, heardMilliseconds };
  }
}
