/** Follows the platform records that a gateway needs, and tells whether its copies are current. */
import { SuspicionTracker } from '../crashes/suspicionTracker.js';
import { EvacuationRollbackPolicy } from '../locality/evacuationRollbackPolicy.js';
import { RetainedRecords } from '../records/retainedRecords.js';
import { KindFollower } from '../records/kindFollower.js';
import { RecordRelay } from '../records/recordRelay.js';
import type { ClassifyChange } from '../records/recordReplica.js';
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

export interface PlatformFollowersOptions extends Omit<
  RecordSourcesOptions,
  'state' | 'reader' | 'relay' | 'store'
> {
  platform: ServingPlatform;
  random: Random;
  /** Interval at which a backend server renews its record. */
  heartbeatMilliseconds: number;
  /** Whether the deployment has evacuations. Each followed kind costs calls to the store. */
  followsEvacuations: boolean;
}

/**
 * A copy that has not been confirmed for this long is no longer considered current. The source of a copy probes the
 * store every 500 ms, tells the result to its listeners every 300 ms, and waits 600 ms for a probe that fails.
 */
const STALE_COPY_MILLISECONDS = 1_700;
/** Batches changes to limit store calls: many servers change together when they start, switch and leave. */
const BATCH_SERVERS_MILLISECONDS = 250;
/** For changes of models only: many servers load or switch together, and their agents report the same. */
const BATCH_MINOR_MILLISECONDS = 500;
const BATCH_MILLISECONDS = 60;
/** Short, because a suspicion that is known late can cost another server. */
const BATCH_SUSPICIONS_MILLISECONDS = 15;
/** Sum of the maximum lag of a copy (1,000), a stamp interval (300) and a read; see `LagDetector` and `RecordRelay`. */
const MIN_LISTING_DELAY_MILLISECONDS = 1_500;
/** Running servers may be missing for this long after a store outage, since they could not renew their records. */
const OUTAGE_RECOVERY_MILLISECONDS = 1_500;

export class PlatformFollowers {
  readonly configuration: RecordReplica;
  readonly servers: RecordReplica;
  readonly versions: RecordReplica;
  /** Undefined where the deployment has no evacuations. */
  readonly evacuations: RecordReplica | undefined;
  readonly suspicions: SuspicionTracker;
  readonly serverDecoder: ServerRecordDecoder;
  readonly relay: RecordRelay;
  private readonly _suspicionReplica: RecordReplica;
  private readonly _state: RecordState;
  private readonly _storeReader: StoreReader;
  private readonly _sources: RecordSources;

  constructor(options: PlatformFollowersOptions) {
    const { platform, clock, log } = options;
    const { store, reader, unreadable } = platform;
    this.serverDecoder = new ServerRecordDecoder(reader, unreadable, clock);
    const classifyServer: ClassifyChange = (before, after) =>
      this.serverDecoder.classifyChange(before, after);
    const replicaOf = (kind: string, policy: RollbackPolicy, classify?: ClassifyChange): RecordReplica =>
      new RecordReplica(
        kind,
        classify,
        new RetainedRecords({ kind, policy, mayHaveExpired: () => this.serversMayBeMissing, clock, log }),
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
      classifyServer,
    );
    this.versions = replicaOf(
      reader.kinds.versions,
      new VersionRollbackPolicy(
        ({ name, value }) => reader.version(name, value).unwrapOr(undefined)?.version,
      ),
    );
    if (options.followsEvacuations)
      this.evacuations = replicaOf(reader.kinds.evacuations, new EvacuationRollbackPolicy());
    this._suspicionReplica = new RecordReplica(reader.kinds.suspicions);
    this._state = new RecordState(
      [
        this.configuration,
        this.servers,
        this.versions,
        ...(this.evacuations ? [this.evacuations] : []),
        this._suspicionReplica,
      ],
      clock,
      () => this._storeReader,
    );
    this.relay = new RecordRelay(this._state);
    const followers = this._state.replicas.map((replica) => this._followerOf(replica, options));
    this._storeReader = new StoreReader({ followers, store, clock, log });
    this._sources = new RecordSources({
      ...options,
      state: this._state,
      reader: this._storeReader,
      store,
      relay: this.relay,
    });
    this.suspicions = this._createSuspicions(options);
  }

  /** Whether the copy of the configuration is confirmed to be current. */
  get isCurrent(): boolean {
    return this._state.unconfirmedFor < STALE_COPY_MILLISECONDS;
  }

  /**
   * Upper bound for the age of a record that arrives with a listing: the time since the copy was last confirmed,
   * but no less than it takes to notice that a reader has fallen behind. Watched changes arrive as they are made.
   */
  get maxListingDelayMilliseconds(): number {
    return Math.max(MIN_LISTING_DELAY_MILLISECONDS, this._state.unconfirmedFor);
  }

  /** Whether the store was regained so recently that running servers may be missing from the list. */
  get serversMayBeMissing(): boolean {
    return this._state.regainedFor < OUTAGE_RECOVERY_MILLISECONDS;
  }

  /** The latest store generation that this process has seen. */
  get generation(): number {
    return generationOf(Math.max(...this._state.replicas.map(({ revision }) => revision)));
  }

  /** Number of records that are retained although a rollback of the store has lost them. */
  get retainedRecords(): number {
    return this._state.replicas.reduce((sum, { retained }) => sum + retained.length, 0);
  }

  /** Where this process's copies come from: the address of an entry, or `store`. */
  get source(): string {
    return this._sources.primary === '' ? 'store' : this._sources.primary;
  }

  /** Whether there is no copy of the evacuations because the source of the copies does not provide them. */
  get isWithoutEvacuations(): boolean {
    return this.evacuations !== undefined && this._state.isNotProvided(this.evacuations.kind);
  }

  /** Whether this process reads the store itself. */
  get isReading(): boolean {
    return this._storeReader.isReading;
  }

  start(): void {
    this._sources.start();
  }

  stop(): void {
    this.suspicions.close();
    this._sources.stop();
    this.relay.close();
  }

  private _createSuspicions(options: PlatformFollowersOptions): SuspicionTracker {
    const { platform, own, ranking } = options;
    return new SuspicionTracker({
      ...options,
      ...platform,
      box: own.box,
      replica: this._suspicionReplica,
      isReading: () => this.isReading,
      isLive: (box) => ranking().some((source) => source.box === box),
    });
  }

  private _followerOf(
    replica: RecordReplica,
    { platform, random, log }: PlatformFollowersOptions,
  ): KindFollower {
    const [urgentBatchMilliseconds, minorBatchMilliseconds] = this._batchTimes(replica);
    return new KindFollower({
      replica,
      store: platform.store,
      random,
      log,
      urgentBatchMilliseconds,
      minorBatchMilliseconds,
    });
  }

  /** Batching times for urgent and for minor changes. */
  private _batchTimes(replica: RecordReplica): [number, number] {
    if (replica === this.servers) return [BATCH_SERVERS_MILLISECONDS, BATCH_MINOR_MILLISECONDS];
    const batch = replica === this._suspicionReplica ? BATCH_SUSPICIONS_MILLISECONDS : BATCH_MILLISECONDS;
    return [batch, batch];
  }
}
