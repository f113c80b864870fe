/** Keeps the backpressure state of all backend servers and shares it with other entries. */
import { EventEmitter } from 'node:events';
import { LRUCache } from 'lru-cache';
import type { ServerNotice } from '../protocol/boxMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { placementHash } from '../utils/hash.js';
import { CoalescedCall } from '../utils/coalescedCall.js';
import type { PlacedBox } from '../utils/dataCentreOrder.js';
import { ColdSharers } from './coldSharers.js';
import type { LimitShare } from './limitShare.js';
import { ServerBackpressure } from './serverBackpressure.js';

export interface ServerSignalsOptions {
  clock: Clock;
  log: EventLog;
  /** Box of this entry. */
  box: string;
  /** Returns this entry's share of the requests per second that a server accepts from all entries. */
  share: (server: string, dataCentre: string, perSecond: number) => LimitShare;
  /** What limits cold servers; by default nothing does. */
  cold?: {
    /** Returns the requests per second that a cold server of the service handles; 0 if that is not limited. */
    perSecond: (service: string) => number;
    /** Returns the entries that share a cold server; undefined until they are known. */
    entries: () => readonly PlacedBox[] | undefined;
  };
}

/** State of a server, kept whether or not service discovery lists it at the moment. */
interface KnownServer {
  dataCentre: string;
  service: string;
  /** When the process started, in Unix milliseconds by its own clock; 0 while unknown. */
  startedAt: number;
  backpressure: ServerBackpressure;
}

/** Maximum number of servers whose state is kept. Ids are unique, so a server that is listed again is recognised. */
const MAX_SERVERS = 10_000;
/** Changes are batched for this long, because a limit can change with every answer. */
const BATCH_MILLISECONDS = 100;
/** The end of a limit is reported to newly connected entries for this long. */
const REPORT_ENDED_MILLISECONDS = 60_000;
/** Age of the limit in the notice of a server that has sent none: older than any other notice, which it must not end. */
const NEVER_HEARD_MILLISECONDS = 600_000;
const HASH_RANGE = 2 ** 32;

interface ServerSignalsEvents {
  /** Answers to this entry have changed the shared state of servers. */
  change: [ServerNotice[]];
}

export class ServerSignals extends EventEmitter<ServerSignalsEvents> {
  private readonly _options: ServerSignalsOptions;
  /** By server id. Kept when a server is not listed, because service discovery can lose its record for a while. */
  private readonly _byServer = new LRUCache<string, KnownServer>({ max: MAX_SERVERS });
  /** Servers with a notice to send. */
  private readonly _changed = new Set<string>();
  private readonly _pendingChanges = new CoalescedCall(
    () => BATCH_MILLISECONDS,
    () => this._emitChanges(),
  );

  constructor(options: ServerSignalsOptions) {
    super();
    this._options = options;
  }

  /** Returns the state of the server incarnation that started at `startedAt`; 0 when the start is unknown. */
  backpressureOf(server: string, dataCentre: string, startedAt: number, service = ''): ServerBackpressure {
    const known = this._findIncarnation(server, startedAt) ?? this._add(server);
    known.dataCentre = dataCentre;
    known.service = service;
    known.startedAt = startedAt || known.startedAt;
    return known.backpressure;
  }

  /** Applies notices from other entries. */
  applyNotices(notices: readonly ServerNotice[]): void {
    for (const notice of notices) this._applyNotice(notice);
  }

  /** Returns the current notices, for an entry that has not received them. */
  notices(): ServerNotice[] {
    return [...this._byServer.keys()].flatMap((server) => {
      const { backpressure } = this._byServer.peek(server)!;
      const { isLimited, isCold, isLeaving, sharedState } = backpressure;
      const isRecent = this._options.clock.now() - sharedState.heardAt < REPORT_ENDED_MILLISECONDS;
      return isLimited || isCold || isLeaving || isRecent ? [this._noticeOf(server)] : [];
    });
  }

  close(): void {
    this._pendingChanges.cancel();
  }

  /** Drops the state of a server that has restarted: signals of the former incarnation no longer apply. */
  forgetServer(server: string): void {
    this._byServer.delete(server);
  }

  /** Numbers of servers that advertise a limit, are cold, are shutting down, or have asked this entry to back off. */
  get counts(): { limited: number; cold: number; leaving: number; backingOff: number } {
    const all = [...this._byServer.values()].map(({ backpressure }) => backpressure);
    return {
      limited: all.filter(({ isLimited }) => isLimited).length,
      cold: all.filter(({ isCold }) => isCold).length,
      leaving: all.filter(({ isLeaving }) => isLeaving).length,
      backingOff: all.filter(({ isBackingOff }) => isBackingOff).length,
    };
  }

  /** Finds the state of the server, unless it is of a different incarnation. An unknown start matches any. */
  private _findIncarnation(server: string, startedAt: number): KnownServer | undefined {
    const known = this._byServer.get(server);
    const isAnother = known && startedAt > 0 && known.startedAt > 0 && startedAt !== known.startedAt;
    return isAnother ? undefined : known;
  }

  private _add(server: string): KnownServer {
    const { clock, log, box, cold } = this._options;
    const sharers = new ColdSharers({
      server,
      own: box,
      dataCentre: () => known.dataCentre,
      entries: () => cold?.entries(),
    });
    const known: KnownServer = {
      dataCentre: '',
      service: '',
      startedAt: 0,
      backpressure: new ServerBackpressure({
        server,
        clock,
        log,
        share: (perSecond) => this._options.share(server, known.dataCentre, perSecond),
        phase: placementHash(server, box) / HASH_RANGE,
        cold: {
          perSecond: () => cold?.perSecond(known.service) ?? 0,
          share: (perSecond) => sharers.share(perSecond),
        },
        onChange: () => this._onChange(server),
      }),
    };
    this._byServer.set(server, known);
    return known;
  }

  private _onChange(server: string): void {
    this._changed.add(server);
    this._pendingChanges.schedule();
  }

  private _emitChanges(): void {
    const changed = [...this._changed].filter((server) => this._byServer.has(server));
    this._changed.clear();
    if (changed.length === 0) return;
    this.emit(
      'change',
      changed.map((server) => this._noticeOf(server)),
    );
  }

  /** Applies a notice, unless it is about a different incarnation than the known one. */
  private _applyNotice({
    server,
    startedAt,
    limitPerSecond,
    leaving,
    heardMilliseconds,
    coldMilliseconds = 0,
  }: ServerNotice): void {
    const known = this._byServer.has(server) ? this._findIncarnation(server, startedAt) : this._add(server);
    if (!known) return;
    known.startedAt ||= startedAt;
    known.backpressure.applyNotice({
      limitPerSecond: limitPerSecond ?? undefined,
      leaving,
      heardAt: this._options.clock.now() - heardMilliseconds,
      coldMilliseconds,
    });
  }

  private _noticeOf(server: string): ServerNotice {
    const { startedAt, backpressure } = this._byServer.peek(server)!;
    const { limitPerSecond, leaving, heardAt, coldMilliseconds } = backpressure.sharedState;
    const age = Math.max(0, this._options.clock.now() - heardAt);
    const heardMilliseconds = Number.isFinite(age) ? age : NEVER_HEARD_MILLISECONDS;
    const notice = { server, startedAt, limitPerSecond: limitPerSecond ?? null, leaving, heardMilliseconds };
    return coldMilliseconds > 0 ? { ...notice, coldMilliseconds } : notice;
  }
}
