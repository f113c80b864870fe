/** One version that this box brings to its backend server: chunks, draws from the origin, what lies staged. */
import type { Manifest } from '../protocol/manifest.js';
import type { Member, PlanMessage } from '../protocol/rolloutMessages.js';
import type { EventLog } from '../telemetry/eventLog.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';
import { ManifestIndex } from '../weights/manifestIndex.js';
import type { ExchangeServices } from '../weights/exchangeServices.js';
import { RolloutExchange } from '../weights/rolloutExchange.js';
import { ChunkStager } from './chunkStager.js';
import { DownloadProgress, downloadOrder, downloaderOf, replaceLostDownloaders } from './downloadSchedule.js';
import { LinkRate } from './linkRate.js';
import { ScarceChunks } from './scarceChunks.js';
import type { StagedChunks } from './stagedChunks.js';
import type { StagingArea } from './stagingArea.js';
import { connectedPeers } from './switchGroup.js';

/** What a stage works with. */
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
  /** Monotonic milliseconds at which the version was named. */
  announcedAt: number;
  /** What the box may take of chunks. */
  bytesPerSecond: number;
  /** Whether this version may fetch from other boxes, and draw from the origin, or leaves these to an older one. */
  mayFetch: () => boolean;
  mayDraw: () => boolean;
}

const MILLISECONDS_PER_SECOND = 1_000;
const DRAW_INTERVAL_MILLISECONDS = 100;
/** How long a box that comes late waits to hear what the others hold before it draws. */
const HEARING_MILLISECONDS = 400;
/** A version that was named so recently is nowhere yet, so that there is nothing to wait for. */
const NEW_VERSION_MILLISECONDS = 1_000;

/** The name of a rollout: the same at every box. */
export function rolloutName(model: string, version: number): string {
  return `${model}@${version}`;
}

export class VersionStage {
  readonly version: number;
  readonly model: string;
  readonly exchange: RolloutExchange;
  readonly index: ManifestIndex;
  readonly announcedAt: number;
  private readonly _options: VersionStageOptions;
  private readonly _stager: ChunkStager;
  private readonly _seen = new Set<number>();
  private readonly _startedAt: number;
  private readonly _linkRate: LinkRate;
  private _members: readonly Member[];
  /** Boxes that draw, in all data centres and in this one, in their order. */
  private _order: readonly string[] = [];
  private _nearOrder: readonly string[] = [];
  private _peers: ReadonlySet<string> = new Set();
  private readonly _progress: DownloadProgress;
  private readonly _scarce = new ScarceChunks();
  private readonly _redrawn = new Set<number>();
  private _drawTimer: NodeJS.Timeout | undefined;
  /** Monotonic milliseconds at which everything was here; infinite before. */
  private _completedAt = Number.POSITIVE_INFINITY;

  constructor(options: VersionStageOptions) {
    this._options = options;
    this.version = options.version;
    this.model = options.model;
    this.announcedAt = options.announcedAt;
    this._members = options.members;
    this._startedAt = options.clock.now();
    this._linkRate = new LinkRate(options.bytesPerSecond, this._startedAt);
    this.index = new ManifestIndex(options.manifest);
    this._progress = new DownloadProgress(this.index.chunkCount, this._startedAt);
    this._stager = new ChunkStager({ ...options, index: this.index });
    this.exchange = new RolloutExchange(
      { ...options.services, mayFetch: options.mayFetch },
      this._plan(),
      this.index,
      () => this._onChange(),
    );
    this._orderDrawers();
  }

  get complete(): boolean {
    return this.exchange.complete;
  }

  /** Part of the chunks that are here, from 0 to 1. */
  get heldShare(): number {
    return this.exchange.held.count / this.index.chunkCount;
  }

  /** Part of the chunks that have left the origin and are here or at a neighbour, from 0 to 1. */
  get availableShare(): number {
    return 1 - this.exchange.unseenChunks().length / this.index.chunkCount;
  }

  /** Milliseconds that a whole copy takes at the rate at which the box may take chunks. */
  get copyMilliseconds(): number {
    return (this.index.totalBytes * MILLISECONDS_PER_SECOND) / this._options.bytesPerSecond;
  }

  /**
   * Milliseconds until everything is here, if chunks go on coming as fast as they have; infinite if some are
   * nowhere.
   */
  get expectedMilliseconds(): number {
    if (this.complete) return 0;
    if (this.availableShare < 1) return Number.POSITIVE_INFINITY;
    const { count, size } = this.exchange.held;
    const elapsed = this._options.clock.now() - this._startedAt;
    return count === 0 ? Number.POSITIVE_INFINITY : (elapsed * (size - count)) / count;
  }

  /** Whether the link is narrow on which chunks come, or was until a moment ago. */
  get isSlow(): boolean {
    return this._linkRate.isSlow(this._options.clock.now());
  }

  /**
   * Lets the chunks lie before the backend server from now on; false while another version's may still come there.
   */
  async acquireStagingArea(): Promise<boolean> {
    return await this._stager.acquireStagingArea();
  }

  /** Opens the exchange; `adopt` takes over what lies staged from an earlier life of this process. */
  async start(adopt: boolean): Promise<void> {
    this.exchange.start();
    if (adopt) await this._adopt();
    this._drawTimer = setInterval(() => this._tick(), DRAW_INTERVAL_MILLISECONDS);
    this._tick();
  }

  updateMembers(members: readonly Member[]): void {
    this._members = members;
    this._orderDrawers();
    this.exchange.updateMembers(this._plan());
  }

  chunk(index: number): Buffer | undefined {
    if (!this.exchange.held.has(index)) return undefined;
    return this._options.services.store.get('', this.index.chunk(index).digest);
  }

  /** Whether everything lies before the backend server as the manifest says; see {@link ChunkStager.verify}. */
  async verify(lifeSeenAt: number): Promise<boolean> {
    return await this._stager.verify((chunk) => this.chunk(chunk), lifeSeenAt);
  }

  /** Ends all transfers and lets the chunks go. */
  drop(): void {
    clearInterval(this._drawTimer);
    this._stager.stop();
    this.exchange.stop();
    this._options.services.store.release(this.exchange.rollout);
  }

  private async _adopt(): Promise<void> {
    try {
      const staged = await this._options.staged.take(this.model);
      this._stager.adopt(staged, (chunk, data) => {
        this._seen.add(chunk);
        this.exchange.adopt(chunk, data);
      });
    } catch (error) {
      this._options.log.decision('chunks.not-adopted', { reason: errorText(error) });
    }
  }

  private _tick(): void {
    if (this.complete) return clearInterval(this._drawTimer);
    this._noteLink();
    this._draw();
  }

  private _noteLink(): void {
    const { originBytes, peerBytes, crossDataCentreBytes } = this.exchange.counts;
    const receivedBytes = originBytes + peerBytes + crossDataCentreBytes;
    this._linkRate.record(this._options.clock.now(), receivedBytes, this.exchange.fetching);
  }

  /** Draws what is nowhere and whose turn is ours. */
  private _draw(): void {
    if (!this._options.mayDraw()) return;
    this._drawScarce();
    const now = this._options.clock.now();
    const isNew = this._startedAt - this.announcedAt < NEW_VERSION_MILLISECONDS;
    if (!isNew && now - this._startedAt < HEARING_MILLISECONDS) return;
    const order = this._reachable(this._order);
    const unseen = this.exchange.unseenChunks();
    this._progress.update(order, unseen, now);
    const { box } = this._options.services;
    const due = unseen.filter(
      (chunk) =>
        downloaderOf(order, chunk, this._progress.millisecondsWithoutProgress(order, chunk, now)) === box,
    );
    this.exchange.keepDraws(due);
    const open = new Set(this.exchange.openDraws);
    const fresh = due.filter((chunk) => !open.has(chunk));
    if (fresh.length === 0) return;
    this._options.log.decision('draws.begun', { version: this.version, chunks: fresh.length });
    this.exchange.grant(fresh);
  }

  /** Draws again what a single box with a narrow link holds, and whose turn in this data centre is ours. */
  private _drawScarce(): void {
    const now = this._options.clock.now();
    const { box } = this._options.services;
    const order = this._reachable(this._nearOrder);
    const due = this._scarce
      .update(this.exchange.soleHolders(), now)
      .filter(({ chunk, holder, overdueMilliseconds }) => {
        const others = order.filter((candidate) => candidate !== holder);
        return downloaderOf(others, chunk, overdueMilliseconds) === box;
      })
      .map(({ chunk }) => chunk)
      .filter((chunk) => !this._redrawn.has(chunk));
    if (due.length === 0) return;
    for (const chunk of due) this._redrawn.add(chunk);
    this._options.log.decision('draws.of-scarce-chunks', { version: this.version, chunks: due.length });
    this.exchange.grant(due, true);
  }

  /** Works out who draws; the orders hold until the members change. */
  private _orderDrawers(): void {
    const { box } = this._options.services;
    const own = this._members.find((member) => member.box === box);
    const near = this._members.filter((member) => member.dataCentre === own?.dataCentre);
    this._order = downloadOrder(this.exchange.rollout, this._members);
    this._nearOrder = downloadOrder(this.exchange.rollout, near);
    const peers = connectedPeers(box, this._members);
    this._peers = new Set(peers.map((member) => member.box));
  }

  /** The order without lost peers, unless so many are lost that they have yet to be connected. */
  private _reachable(order: readonly string[]): readonly string[] {
    const { peers } = this._options.services;
    const lost = new Set([...this._peers].filter((box) => peers.isLost(box)));
    const reachable = this._peers.size - lost.size + 1;
    if (reachable * 2 <= this._peers.size + 1) return order;
    return replaceLostDownloaders(order, lost);
  }

  private _onChange(): void {
    for (const chunk of this.exchange.held.members()) {
      if (this._seen.has(chunk)) continue;
      this._seen.add(chunk);
      const data = this.chunk(chunk);
      if (data) this._stager.add(chunk, data);
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
    const { model, version, manifest } = this._options;
    return {
      type: 'plan',
      call: 0,
      customer: '',
      configuration: model,
      epoch: 0,
      rollout: rolloutName(model, version),
      kind: 'model',
      model,
      version: String(version),
      manifestDigest: '',
      manifest,
      weight: 1,
      distribution: 'exchange',
      members: [...this._members],
    };
  }
}
