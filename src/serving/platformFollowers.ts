/** The records of the platform that a gateway follows, and whether it can trust its copies. */
import { Suspicions } from '../crashes/suspicions.js';
import { RetainedRecords } from '../records/retainedRecords.js';
import { KindFollower } from '../records/kindFollower.js';
import { RecordRelay } from '../records/recordRelay.js';
import type { WeighChange } from '../records/recordReplica.js';
import { RecordReplica } from '../records/recordReplica.js';
import type { RecordSourcesOptions } from '../records/recordSources.js';
import { RecordSources } from '../records/recordSources.js';
import { RecordState } from '../records/recordState.js';
import type { RollbackPolicy } from '../records/rollbackPolicy.js';
import { generationOf } from '../records/storeRevision.js';
import { StoreReader } from '../records/storeReader.js';
import type { Random } from '../utils/random.js';
import { ServerRecordDecoder } from './serverRecordDecoder.js';
import { VersionRollbackPolicy } from './versionRollbackPolicy.js';
import type { ServingPlatform } from './platformRecords.js';
import { ServerRollbackPolicy } from './serverRollbackPolicy.js';

/** What the followers work with. */
export interface PlatformFollowersOptions extends Omit<
  RecordSourcesOptions,
  'state' | 'reader' | 'relay' | 'store'
> {
  platform: ServingPlatform;
  random: Random;
  /** How often a backend server renews its entry. */
  heartbeatMilliseconds: number;
}

/**
 * A copy that has not been confirmed for so long is not trusted to be the newest: one that comes from another entry is
 * confirmed every 500 ms there and stamped every 300 ms, and a lost probe takes 600 ms.
 */
const STALE_MILLISECONDS = 1_700;
/** Calls to the store have their price, and servers change many at a time: when they start, switch and leave. */
const GATHER_SERVERS_MILLISECONDS = 250;
/** Many servers change only what they hold while they load or switch, which their agents tell as well. */
const GATHER_MINOR_MILLISECONDS = 500;
const GATHER_MILLISECONDS = 60;
/** Each that is known late may cost a server. */
const GATHER_SUSPICIONS_MILLISECONDS = 15;
/** The longest lag of a copy (1,000), a stamp (300), and a round of reading, as `LagWatch` and `RecordRelay` have them. */
const LEAST_GAP_MILLISECONDS = 1_500;
/** How long after an outage of the store backend servers may be missing that only could not renew their entries. */
const OUTAGE_ECHO_MILLISECONDS = 1_500;

export class PlatformFollowers {
  readonly configuration: RecordReplica;
  readonly servers: RecordReplica;
  readonly versions: RecordReplica;
  readonly suspicions: Suspicions;
  readonly serverDecoder: ServerRecordDecoder;
  readonly relay: RecordRelay;
  private readonly _suspicions: RecordReplica;
  private readonly _state: RecordState;
  private readonly _reader: StoreReader;
  private readonly _sources: RecordSources;

  constructor(options: PlatformFollowersOptions) {
    const { platform, clock, log } = options;
    const { store, reader, unreadable } = platform;
    this.serverDecoder = new ServerRecordDecoder(reader, unreadable);
    const weighServer: WeighChange = (before, after) => this.serverDecoder.weighChange(before, after);
    const replicaOf = (kind: string, policy: RollbackPolicy, weigh?: WeighChange): RecordReplica =>
      new RecordReplica(
        kind,
        weigh,
        new RetainedRecords({ kind, policy, mayHaveLapsed: () => this.serversMayBeMissing, clock, log }),
      );
    this.configuration = replicaOf(
      reader.kinds.configuration,
      new VersionRollbackPolicy(
        ({ name, value }) => reader.configuration(name, value).unwrapOr(undefined)?.version,
      ),
    );
    this.servers = replicaOf(
      reader.kinds.servers,
      new ServerRollbackPolicy((object) => this.serverDecoder.decode(object), options.heartbeatMilliseconds),
      weighServer,
    );
    this.versions = replicaOf(
      reader.kinds.versions,
      new VersionRollbackPolicy(
        ({ name, value }) => reader.version(name, value).unwrapOr(undefined)?.version,
      ),
    );
    this._suspicions = new RecordReplica(reader.kinds.suspicions);
    this._state = new RecordState(
      [this.configuration, this.servers, this.versions, this._suspicions],
      clock,
      () => this._reader,
    );
    this.relay = new RecordRelay(this._state);
    const followers = this._state.replicas.map((replica) => this._followerOf(replica, options));
    this._reader = new StoreReader({ followers, store, clock, log });
    this._sources = new RecordSources({
      ...options,
      state: this._state,
      reader: this._reader,
      store,
      relay: this.relay,
    });
    this.suspicions = this._createSuspicions(options);
  }

  /** Whether the configuration can be trusted to be the newest. */
  get isCurrent(): boolean {
    return this._state.unconfirmedFor < STALE_MILLISECONDS;
  }

  /**
   * Milliseconds in which a record that comes with a listing may have been made: since the copy was last confirmed, and at
   * least as long as it takes to notice that a reader has fallen behind. Changes that are watched come as they are made.
   */
  get maxListingDelayMilliseconds(): number {
    return Math.max(LEAST_GAP_MILLISECONDS, this._state.unconfirmedFor);
  }

  /** Whether the store was regained so lately that servers may be missing though they run. */
  get serversMayBeMissing(): boolean {
    return this._state.regainedFor < OUTAGE_ECHO_MILLISECONDS;
  }

  /** The latest generation of the store that this process knows of. */
  get generation(): number {
    return generationOf(Math.max(...this._state.replicas.map(({ revision }) => revision)));
  }

  /** How many records stay in force that a rollback of the store has lost. */
  get retainedRecords(): number {
    return this._state.replicas.reduce((sum, { retained }) => sum + retained.length, 0);
  }

  /** Whether this process reads the store itself. */
  get isReading(): boolean {
    return this._reader.isReading;
  }

  start(): void {
    this._sources.start();
  }

  stop(): void {
    this.suspicions.close();
    this._sources.stop();
    this.relay.close();
  }

  private _createSuspicions(options: PlatformFollowersOptions): Suspicions {
    const { platform, own, ranking } = options;
    return new Suspicions({
      ...options,
      ...platform,
      box: own.box,
      replica: this._suspicions,
      isReading: () => this.isReading,
      isLive: (box) => ranking().some((source) => source.box === box),
    });
  }

  private _followerOf(
    replica: RecordReplica,
    { platform, random, log }: PlatformFollowersOptions,
  ): KindFollower {
    const [gatherMilliseconds, gatherMinorMilliseconds] = this._gatherTimes(replica);
    return new KindFollower({
      replica,
      store: platform.store,
      random,
      log,
      gatherMilliseconds,
      gatherMinorMilliseconds,
    });
  }

  /** How long changes are gathered after an urgent one, and after a minor one. */
  private _gatherTimes(replica: RecordReplica): [number, number] {
    if (replica === this.servers) return [GATHER_SERVERS_MILLISECONDS, GATHER_MINOR_MILLISECONDS];
    const gather = replica === this._suspicions ? GATHER_SUSPICIONS_MILLISECONDS : GATHER_MILLISECONDS;
    return [gather, gather];
  }
}
