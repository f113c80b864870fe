/**
 * Decides which box may fetch which chunk from the origin, within the origin budget. Messages and log lines call an
 * origin fetch a draw.
 */
import type { ConfigurationName } from '../configuration/recordKeys.js';
import type { Specification, Urgency } from '../configuration/template.js';
import type { ReplyMessage } from '../protocol/rolloutMessages.js';
import type { Logger } from '../telemetry/logger.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';
import type { ManifestIndex } from '../weights/manifestIndex.js';
import { topologyPolicy } from '../weights/topologies.js';
import { ChunkCoverage } from './chunkCoverage.js';
import { OriginBudget } from './originBudget.js';
import type { RolloutBox } from './rolloutView.js';

/** Options of a {@link OriginFetchGranter}. */
export interface OriginFetchGranterOptions {
  name: ConfigurationName;
  epoch: () => number | undefined;
  rollout: string;
  index: ManifestIndex;
  specification: Specification;
  /** Bytes granted so far, by `box/incarnation`, from the rollout object; includes grants of earlier coordinators. */
  granted: Readonly<Record<string, number>>;
  clock: Clock;
  logger: Logger;
}

/** Grants that are reserved in the budget but not yet written and sent. */
export interface PendingGrants {
  /** Chunks by box. */
  chunks: Map<string, number[]>;
  /** The new value of `granted` in the rollout object. */
  granted: Record<string, number>;
}

/** How long to wait for replies from all boxes before the first origin fetches are granted. */
const FIRST_REPLIES_MILLISECONDS = 1_000;
/** Longest time between the state that a report describes and its arrival. */
const MAX_REPORT_AGE_MILLISECONDS = 250;
/** Time without progress after which the origin fetches of a box are granted to another, by urgency of the rollout. */
const STALLED_MILLISECONDS: Record<Urgency, number> = { time: 3_000, 'origin-bytes': 15_000 };

/** Grants the origin fetches of one rollout. A new instance is created for each rollout and lease epoch. */
export class OriginFetchGranter {
  readonly rollout: string;
  private readonly _options: OriginFetchGranterOptions;
  private readonly _coverage: ChunkCoverage;
  private _budget: OriginBudget;
  private readonly _createdAt: number;
  private readonly _incarnations = new Map<string, string>();
  private readonly _progress = new Map<string, { text: string; at: number }>();
  private readonly _grantedAt = new Map<string, number>();
  private _writtenGrants: Readonly<Record<string, number>>;
  private _started = false;
  private _needsHoldings = false;

  constructor(options: OriginFetchGranterOptions) {
    this.rollout = options.rollout;
    this._options = options;
    this._coverage = new ChunkCoverage(options.index.chunkCount);
    this._writtenGrants = options.granted;
    this._budget = this._createBudget(options.granted);
    this._createdAt = options.clock.now();
  }

  /** Applies an agent's reply to a plan or to a holdings query. */
  applyReply(box: string, reply: ReplyMessage): void {
    if (!reply.held || !reply.incarnation) return;
    const openDraws = reply.openDraws ?? [];
    this._incarnations.set(box, reply.incarnation);
    this._coverage.setHoldings(box, { held: reply.held, openDraws });
    const agent = `${box}/${reply.incarnation}`;
    this._budget.recordUsage({
      agent,
      originBytes: reply.originBytes ?? 0,
      openBytes: this._sizeOf(openDraws),
    });
  }

  /** Returns the grants that are needed now, after reserving their bytes in the budget; undefined if there are none. */
  async nextGrants(boxes: readonly RolloutBox[]): Promise<PendingGrants | 'over-budget' | undefined> {
    const live = boxes.filter((box) => box.live && this._coverage.hasBox(box.box));
    if (!this._started && !this._hasEnoughReplies(boxes, live)) return undefined;
    this._removeUnusableBoxes(boxes);
    this._applyFailures(live);
    if (this._needsHoldings) await this._queryHoldings(live);
    if (this._options.specification.distribution === 'direct') return this._nextDirectGrants(live);
    const uncovered = this._coverage.uncovered();
    if (uncovered.length === 0 || live.length === 0) {
      this._started ||= uncovered.length === 0 && live.length > 0;
      return undefined;
    }
    return this._reserve(this._assign(uncovered, live));
  }

  /** Sends grants that have been written to the rollout object. */
  async send(grants: PendingGrants, boxes: readonly RolloutBox[]): Promise<void> {
    this._started = true;
    this._writtenGrants = grants.granted;
    const sends = [...grants.chunks].map(([box, chunks]) => this._sendOne(box, chunks, boxes));
    await Promise.all(sends);
  }

  /** Undoes a reservation that could not be written, so that its grants were not sent. The next step reserves again. */
  discardReservation(): void {
    this._budget = this._createBudget(this._writtenGrants);
    this._needsHoldings = true;
  }

  private _createBudget(granted: Readonly<Record<string, number>>): OriginBudget {
    const limit = this._options.specification.originBudgetCopies * this._options.index.totalBytes;
    return new OriginBudget(Math.floor(limit), granted);
  }

  private _hasEnoughReplies(boxes: readonly RolloutBox[], live: readonly RolloutBox[]): boolean {
    const awaited = boxes.filter((box) => box.expected);
    if (live.length > 0 && awaited.every((box) => this._coverage.hasBox(box.box))) return true;
    return live.length > 0 && this._options.clock.now() - this._createdAt > FIRST_REPLIES_MILLISECONDS;
  }

  /** Removes boxes that are gone, restarted, leaving or stalled. Their origin fetches are granted to other boxes. */
  private _removeUnusableBoxes(boxes: readonly RolloutBox[]): void {
    const usableBoxes = new Set(boxes.filter((box) => this._isUsable(box)).map((box) => box.box));
    for (const box of this._coverage.boxes()) {
      if (usableBoxes.has(box)) continue;
      if (this._coverage.removeBox(box)) this._needsHoldings = true;
      this._options.logger.decision('drawer.dropped', { rollout: this.rollout, peer: box });
    }
  }

  private _isUsable(box: RolloutBox): boolean {
    const incarnation = box.link?.report?.incarnation;
    return box.live && incarnation === this._incarnations.get(box.box) && !this._isStalled(box);
  }

  /** Whether a box with open origin fetches has reported no progress for too long. */
  private _isStalled(box: RolloutBox): boolean {
    const { report } = box;
    if (report?.rollout !== this.rollout || report.openDraws === 0) return false;
    const text = `${report.openDraws}/${report.heldChunks}/${report.originBytes}`;
    const now = this._options.clock.now();
    const before = this._progress.get(box.box);
    if (before?.text !== text) this._progress.set(box.box, { text, at: now });
    const since = before?.text === text ? before.at : now;
    return now - since > STALLED_MILLISECONDS[this._options.specification.urgency];
  }

  private _applyFailures(live: readonly RolloutBox[]): void {
    for (const box of live) this._coverage.removeOriginFetches(box.box, this._failuresOf(box));
  }

  /** Returns the failed origin fetches of a box; none if its report may describe the state before the last grant. */
  private _failuresOf({ box, link, report }: RolloutBox): number[] {
    if (report?.rollout !== this.rollout) return [];
    const grantedAt = this._grantedAt.get(box) ?? Number.NEGATIVE_INFINITY;
    return link!.reportedAt > grantedAt + MAX_REPORT_AGE_MILLISECONDS ? report.failedDraws : [];
  }

  private async _queryHoldings(live: readonly RolloutBox[]): Promise<void> {
    this._needsHoldings = false;
    const { customer, configuration } = this._options.name;
    const epoch = this._options.epoch() ?? 0;
    const order = { type: 'holdings-query' as const, customer, configuration, epoch, rollout: this.rollout };
    await Promise.all(
      live.map(async ({ box, link }) => {
        try {
          this.applyReply(box, await link!.order(order));
        } catch (error) {
          this._options.logger.state('holdings.failed', { peer: box, reason: errorText(error) });
        }
      }),
    );
  }

  private _assign(chunks: readonly number[], live: readonly RolloutBox[]): Map<string, number[]> {
    const members = live.filter((box) => box.expected).map((box) => box.link!.member);
    if (members.length === 0) return new Map();
    const { distribution, weight } = this._options.specification;
    return topologyPolicy(distribution).initialOriginFetches(chunks, members, weight);
  }

  /** Grants for the `direct` distribution, in which each box fetches all chunks from the origin. */
  private _nextDirectGrants(live: readonly RolloutBox[]): PendingGrants | 'over-budget' | undefined {
    const all = Array.from({ length: this._options.index.chunkCount }, (_none, index) => index);
    const chunks = new Map<string, number[]>();
    for (const box of live) {
      const missing = this._started ? this._failuresOf(box) : all;
      if (missing.length > 0) chunks.set(box.box, [...missing]);
    }
    return chunks.size === 0 ? undefined : this._reserve(chunks);
  }

  private _reserve(chunks: Map<string, number[]>): PendingGrants | 'over-budget' {
    const bytes = new Map<string, number>();
    for (const [box, list] of chunks) bytes.set(`${box}/${this._incarnations.get(box)}`, this._sizeOf(list));
    const granted = this._budget.reserve(bytes);
    return granted ? { chunks, granted } : 'over-budget';
  }

  private async _sendOne(box: string, chunks: number[], boxes: readonly RolloutBox[]): Promise<void> {
    const { customer, configuration } = this._options.name;
    const epoch = this._options.epoch();
    const link = boxes.find((candidate) => candidate.box === box)?.link;
    if (epoch === undefined || !link) return;
    this._options.logger.decision('draws.granted', {
      rollout: this.rollout,
      peer: box,
      chunks: chunks.length,
    });
    this._coverage.addOriginFetches(box, chunks);
    this._grantedAt.set(box, this._options.clock.now());
    try {
      const reply = await link.order({
        type: 'grant',
        customer,
        configuration,
        epoch,
        rollout: this.rollout,
        chunks,
      });
      if (!reply.accepted) this._coverage.removeOriginFetches(box, chunks);
    } catch (error) {
      this._options.logger.state('grant.failed', { peer: box, reason: errorText(error) });
    }
  }

  private _sizeOf(chunks: readonly number[]): number {
    return chunks.reduce((sum, chunk) => sum + (this._options.index.chunk(chunk)?.size ?? 0), 0);
  }
}
