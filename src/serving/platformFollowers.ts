/** The records of the platform that a gateway follows, and whether it can trust its copies. */
import { KindFollower } from '../records/kindFollower.js';
import { StoreProbe } from '../records/storeProbe.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import type { Random } from '../utils/random.js';
import type { ServingPlatform } from './platformRecords.js';

/** A copy that has not been confirmed for so long is not trusted to be the newest. */
const STALE_MILLISECONDS = 1_000;
/** Calls to the store have their price, and servers change many at a time: when they start, switch and leave. */
const GATHER_SERVERS_MILLISECONDS = 250;
const GATHER_MILLISECONDS = 60;
/** How long after an outage of the store backend servers may be missing that only could not renew their entries. */
const OUTAGE_ECHO_MILLISECONDS = 1_500;

export class PlatformFollowers {
  readonly configuration: KindFollower;
  readonly servers: KindFollower;
  readonly versions: KindFollower;
  private readonly _probe: StoreProbe;

  constructor(platform: ServingPlatform, clock: Clock, random: Random, log: EventLog) {
    const { store, reader } = platform;
    const follow = (kind: string, gatherMilliseconds: number): KindFollower =>
      new KindFollower({ kind, store, clock, random, log, gatherMilliseconds });
    this.configuration = follow(reader.kinds.configuration, GATHER_MILLISECONDS);
    this.servers = follow(reader.kinds.servers, GATHER_SERVERS_MILLISECONDS);
    this.versions = follow(reader.kinds.versions, GATHER_MILLISECONDS);
    this._probe = new StoreProbe({ store, clock, log });
  }

  /** Whether the configuration can be trusted to be the newest. */
  get isCurrent(): boolean {
    return Math.max(this.configuration.unreachableFor, this._probe.lostFor) < STALE_MILLISECONDS;
  }

  /** Whether the store was regained so lately that servers may be missing though they run. */
  get isEchoing(): boolean {
    return Math.min(this.servers.regainedFor, this._probe.regainedFor) < OUTAGE_ECHO_MILLISECONDS;
  }

  start(): void {
    for (const follower of this._all) follower.start();
    this._probe.on('regained', () => {
      for (const follower of this._all) follower.refresh();
    });
    this._probe.start();
  }

  stop(): void {
    for (const follower of this._all) follower.stop();
    this._probe.stop();
  }

  private get _all(): KindFollower[] {
    return [this.configuration, this.servers, this.versions];
  }
}
