/**
 * One version that this box loads: the exchange of its chunks with other boxes, the origin fetches and the staging at
 * the backend server.
 */
import type { Manifest } from '../protocol/manifest.js';
import type { Member, PlanMessage } from '../protocol/rolloutMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';
import { ManifestIndex } from '../weights/manifestIndex.js';
import type { ExchangeServices } from '../weights/exchangeServices.js';
import { RolloutExchange } from '../weights/rolloutExchange.js';
import { ChunkStager } from './chunkStager.js';
import {
  OriginFetchProgress,
  originFetchOrder,
  originFetcherOf,
  replaceLostOriginFetchers,
  scarceFetchOrder,
} from './originFetchSchedule.js';
import { LinkRate } from './linkRate.js';
import { MissingReports, chunkList, missingChunkFields } from './missingChunks.js';
import { ScarceChunks, mayRefetch } from './scarceChunks.js';
import type { StagedChunks } from './stagedChunks.js';
import { stagePlan } from './stagePlan.js';
import type { StagingArea } from './stagingArea.js';
import { connectedPeers } from './switchGroup.js';

/** Options of a {@link VersionStage}. */
export interface VersionStageOptions {
  model: string;
  version: number;
  manifest: Manifest;
  members: readonly Member[];
  services: ExchangeServices;
  stagingArea: StagingArea;
  staged: StagedChunks;
  clock: Clock;
  log: EventLog;
  /** Monotonic milliseconds at which the version was announced. */
  announcedAt: number;
  /** Rate at which the box may receive chunks. */
  bytesPerSecond: number;
  /** Whether chunks may be fetched from other boxes now: not while an older version is being fetched from them. */
  mayFetchFromPeers: () => boolean;
  /** Whether chunks may be fetched from the origin now: not while an older version has open origin fetches. */
  mayFetchFromOrigin: () => boolean;
}

const MILLISECONDS_PER_SECOND = 1_000;
const TICK_INTERVAL_MILLISECONDS = 100;
/**
 * How long a box that joins late waits for the other boxes to report their chunks before it fetches from the origin.
 */
const LATE_JOIN_WAIT_MILLISECONDS = 400;
/** A version announced within this time is at no box yet, so that a box need not wait for reports of others. */
const NEW_VERSION_AGE_MILLISECONDS = 1_000;

export class VersionStage {
  readonly version: number;
  readonly model: string;
  readonly exchange: RolloutExchange;
  readonly index: ManifestIndex;
  readonly announcedAt: number;
  readonly stager: ChunkStager;
  private readonly _options: VersionStageOptions;
  /** Chunks that were queued for staging, or were staged already. */
  private readonly _handledChunks = new Set<number>();
  private readonly _startedAt: number;
  private readonly _linkRate: LinkRate;
  private _members: readonly Member[];
  /** Boxes of all data centres in the order in which they fetch from the origin. */
  private _originFetchOrder: readonly string[] = [];
  /** The boxes of this data centre in the order in which they fetch scarce chunks again. */
  private _localOriginFetchOrder: readonly string[] = [];
  private _peers: ReadonlySet<string> = new Set();
  private readonly _progress: OriginFetchProgress;
  private readonly _scarce = new ScarceChunks();
  private readonly _refetchedChunks = new Set<number>();
  private readonly _missingReports: MissingReports;
  private _tickTimer: NodeJS.Timeout | undefined;
  /** Monotonic milliseconds at which the version became complete; infinite before. */
  private _completedAt = Number.POSITIVE_INFINITY;

  constructor(options: VersionStageOptions) {
    this._options = options;
    this.version = options.version;
    this.model = options.model;
    this.announcedAt = options.announcedAt;
    this._members = options.members;
    this._startedAt = options.clock.now();
    this._missingReports = new MissingReports(this._startedAt);
    this._linkRate = new LinkRate(options.bytesPerSecond, this._startedAt);
    this.index = new ManifestIndex(options.manifest);
    this._progress = new OriginFetchProgress(this.index.chunkCount, this._startedAt);
    this.stager = new ChunkStager({ ...options, index: this.index });
    this.exchange = new RolloutExchange(
      { ...options.services, mayFetchFromPeers: options.mayFetchFromPeers },
      this._plan(),
      this.index,
      () => this._onChange(),
    );
    this._updateOriginFetchOrders();
  }

  get complete(): boolean {
    return this.exchange.complete;
  }

  /** Share of the chunks that this box has, from 0 to 1. */
  get heldShare(): number {
    return this.exchange.held.count / this.index.chunkCount;
  }

  /** Share of the chunks that this box or a neighbour has, from 0 to 1. */
  get availableShare(): number {
    return 1 - this.exchange.unavailableChunks().length / this.index.chunkCount;
  }

  /** Time to receive a whole copy at the rate that the box may use. */
  get copyMilliseconds(): number {
    return (this.index.totalBytes * MILLISECONDS_PER_SECOND) / this._options.bytesPerSecond;
  }

  /**
   * Time until the version is complete if chunks go on arriving at the same rate; infinite while some are neither
   * here nor at a neighbour.
   */
  get expectedMilliseconds(): number {
    if (this.complete) return 0;
    if (this.availableShare < 1) return Number.POSITIVE_INFINITY;
    const { count, size } = this.exchange.held;
    const elapsed = this._options.clock.now() - this._startedAt;
    return count === 0 ? Number.POSITIVE_INFINITY : (elapsed * (size - count)) / count;
  }

  /** Whether chunks arrive much more slowly than the box may receive them, or did until a moment ago. */
  get isSlow(): boolean {
    return this._linkRate.isSlow(this._options.clock.now());
  }

  /** Starts the exchange. With `adopt`, takes over chunks that an earlier incarnation of the agent staged. */
  async start(adopt: boolean): Promise<void> {
    this.exchange.start();
    if (adopt) await this._adopt();
    this._tickTimer = setInterval(() => this._tick(), TICK_INTERVAL_MILLISECONDS);
    this._tick();
  }

  updateMembers(members: readonly Member[]): void {
    this._members = members;
    this._updateOriginFetchOrders();
    this.exchange.updateMembers(this._plan());
  }

  chunk(index: number): Buffer | undefined {
    if (!this.exchange.held.has(index)) return undefined;
    return this._options.services.store.get('', this.index.chunk(index).digest);
  }

  /** Repairs the staged chunks; see {@link ChunkStager.verify}. */
  async verify(since: number): Promise<boolean> {
    return await this.stager.verify((chunk) => this.chunk(chunk), since);
  }

  /** Stops all transfers and releases the chunks. */
  drop(): void {
    clearInterval(this._tickTimer);
    this.stager.stop();
    this.exchange.stop();
    this._options.services.store.release(this.exchange.rollout);
  }

  private async _adopt(): Promise<void> {
    try {
      const staged = await this._options.staged.take(this.model);
      this.stager.adopt(staged, (chunk, data) => {
        this._handledChunks.add(chunk);
        this.exchange.adopt(chunk, data);
      });
    } catch (error) {
      this._options.log.decision('chunks.not-adopted', { reason: errorText(error) });
    }
  }

  private _tick(): void {
    if (this.complete) return clearInterval(this._tickTimer);
    this._recordLinkRate();
    this._fetchMissingFromOrigin();
  }

  private _recordLinkRate(): void {
    const { originBytes, peerBytes, crossDataCentreBytes } = this.exchange.counts;
    const receivedBytes = originBytes + peerBytes + crossDataCentreBytes;
    this._linkRate.record(this._options.clock.now(), receivedBytes, this.exchange.fetching);
  }

  /** Starts the origin fetches that this box is to do now: of chunks that neither it nor a neighbour has. */
  private _fetchMissingFromOrigin(): void {
    if (!this._options.mayFetchFromOrigin()) return;
    this._refetchScarce();
    const now = this._options.clock.now();
    const isNew = this._startedAt - this.announcedAt < NEW_VERSION_AGE_MILLISECONDS;
    if (!isNew && now - this._startedAt < LATE_JOIN_WAIT_MILLISECONDS) return;
    const order = this._withLostPeersReplaced(this._originFetchOrder);
    const unavailable = this.exchange.unavailableChunks();
    this._progress.update(order, unavailable, now);
    const { box } = this._options.services;
    const due = unavailable.filter(
      (chunk) =>
        originFetcherOf(order, chunk, this._progress.millisecondsWithoutProgress(order, chunk, now)) === box,
    );
    this.exchange.keepOnlyOriginFetches(due);
    this._reportMissing(unavailable, order, now);
    const open = new Set(this.exchange.openDraws);
    const added = due.filter((chunk) => !open.has(chunk));
    if (added.length === 0) return;
    this._options.log.decision('draws.begun', {
      version: this.version,
      chunks: added.length,
      list: chunkList(added),
    });
    this.exchange.grant(added);
  }

  /** Logs which chunks are missing, and which boxes are to fetch those from the origin that nobody here has. */
  private _reportMissing(unavailable: readonly number[], order: readonly string[], now: number): void {
    if (!this._missingReports.isDue(now)) return;
    const fetcherOf = (chunk: number): string | undefined =>
      originFetcherOf(order, chunk, this._progress.millisecondsWithoutProgress(order, chunk, now));
    const fields = missingChunkFields(this.exchange.held.missing(), unavailable, fetcherOf);
    this._options.log.decision('chunks.missing', { version: this.version, ...fields });
  }

  /**
   * Fetches chunks again from the origin that have stayed at a single box, whose link must be slow. In each data centre
   * one box does so.
   */
  private _refetchScarce(): void {
    const now = this._options.clock.now();
    const { box } = this._options.services;
    const order = this._withLostPeersReplaced(this._localOriginFetchOrder);
    const due = this._scarce
      .update(this.exchange.soleHolders(), now)
      .filter((scarce) => !this._refetchedChunks.has(scarce.chunk))
      .filter((scarce) => mayRefetch(scarce, this._refetchedChunks.size))
      .filter(({ chunk, holder, overdueMilliseconds }) => {
        const others = order.filter((candidate) => candidate !== holder);
        return originFetcherOf(others, chunk, overdueMilliseconds) === box;
      })
      .map(({ chunk }) => chunk);
    if (due.length === 0) return;
    for (const chunk of due) this._refetchedChunks.add(chunk);
    this._options.log.decision('draws.of-scarce-chunks', {
      version: this.version,
      chunks: due.length,
      list: chunkList(due),
    });
    this.exchange.grant(due, true);
  }

  /** Computes the orders of the origin fetchers, which hold until the members change. */
  private _updateOriginFetchOrders(): void {
    const { box } = this._options.services;
    const own = this._members.find((member) => member.box === box);
    this._originFetchOrder = originFetchOrder(this.exchange.rollout, this._members);
    this._localOriginFetchOrder = scarceFetchOrder(this.exchange.rollout, this._members, own?.dataCentre);
    const peers = connectedPeers(box, this._members);
    this._peers = new Set(peers.map((member) => member.box));
  }

  /**
   * Returns the order with the lost peers replaced. If most peers seem lost, they are probably not connected yet, and
   * the order stays as it is.
   */
  private _withLostPeersReplaced(order: readonly string[]): readonly string[] {
    const { peers } = this._options.services;
    const lost = new Set([...this._peers].filter((box) => peers.isUnreachable(box)));
    const reachable = this._peers.size - lost.size + 1;
    if (reachable * 2 <= this._peers.size + 1) return order;
    return replaceLostOriginFetchers(order, lost);
  }

  private _onChange(): void {
    for (const chunk of this.exchange.held.members()) {
      if (this._handledChunks.has(chunk)) continue;
      this._handledChunks.add(chunk);
      const data = this.chunk(chunk);
      if (data) this.stager.add(chunk, data);
    }
    if (!this.complete || this._completedAt < Number.POSITIVE_INFINITY) return;
    this._completedAt = this._options.clock.now();
    this._linkRate.complete(this._completedAt);
    const { counts } = this.exchange;
    this._options.log.state('version.whole', {
      model: this.model,
      version: this.version,
      milliseconds: Math.round(this._options.clock.now() - this.announcedAt),
      sinceStart: Math.round(this._options.clock.now() - this._startedAt),
      ...counts,
    });
  }

  private _plan(): PlanMessage {
    return stagePlan(this._options, this._members);
  }
}
