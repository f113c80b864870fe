/** Decides which box may draw which chunk from the origin, within the budget. */
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

/** What a granter is built from. */
export interface DrawGranterOptions {
  name: ConfigurationName;
  epoch: () => number | undefined;
  rollout: string;
  index: ManifestIndex;
  specification: Specification;
  /** Grants of earlier coordinators, as the rollout object has them. */
  granted: Readonly<Record<string, number>>;
  clock: Clock;
  logger: Logger;
}

/** Grants that are booked and wait to be written and sent. */
export interface PendingGrants {
  /** Chunks by box. */
  chunks: Map<string, number[]>;
  /** The table for the rollout object. */
  granted: Record<string, number>;
}

/** How long to wait for the answers of all boxes before the first draws are granted. */
const FIRST_ANSWERS_MILLISECONDS = 1_000;
/** How old the news in a report may be. */
const REPORT_DELAY_MILLISECONDS = 250;
/** Silence of a drawer after which its draws go to another box, by what the rollout cares for. */
const STALLED_MILLISECONDS: Record<Urgency, number> = { time: 3_000, 'origin-bytes': 15_000 };

/** One per rollout and epoch. */
export class DrawGranter {
  readonly rollout: string;
  private readonly _options: DrawGranterOptions;
  private readonly _plan: ChunkCoverage;
  private _budget: OriginBudget;
  private readonly _firstSeenAt: number;
  private readonly _incarnations = new Map<string, string>();
  private readonly _progress = new Map<string, { text: string; at: number }>();
  private readonly _grantedAt = new Map<string, number>();
  private _written: Readonly<Record<string, number>>;
  private _begun = false;
  private _needsHoldings = false;

  constructor(options: DrawGranterOptions) {
    this.rollout = options.rollout;
    this._options = options;
    this._plan = new ChunkCoverage(options.index.chunkCount);
    this._written = options.granted;
    this._budget = this._createBudget(options.granted);
    this._firstSeenAt = options.clock.now();
  }

  /** Takes an agent's answer to a plan or a question. */
  applyReply(box: string, reply: ReplyMessage): void {
    if (!reply.held || !reply.incarnation) return;
    const openDraws = reply.openDraws ?? [];
    this._incarnations.set(box, reply.incarnation);
    this._plan.setHoldings(box, { held: reply.held, openDraws });
    const drawer = `${box}/${reply.incarnation}`;
    this._budget.recordUsage({
      agent: drawer,
      originBytes: reply.originBytes ?? 0,
      openBytes: this._bytes(openDraws),
    });
  }

  /** Returns what has to be granted now, booked against the budget. */
  async nextGrants(boxes: readonly RolloutBox[]): Promise<PendingGrants | 'over-budget' | undefined> {
    const live = boxes.filter((box) => box.live && this._plan.hasBox(box.box));
    if (!this._begun && !this._answersAreIn(boxes, live)) return undefined;
    this._dropLost(boxes);
    this._takeFailures(live);
    if (this._needsHoldings) await this._askHoldings(live);
    if (this._options.specification.distribution === 'direct') return this._dueDirect(live);
    const uncovered = this._plan.uncovered();
    if (uncovered.length === 0 || live.length === 0) {
      this._begun ||= uncovered.length === 0 && live.length > 0;
      return undefined;
    }
    return this._book(this._assign(uncovered, live));
  }

  /** Sends grants that have been written down. */
  async send(due: PendingGrants, boxes: readonly RolloutBox[]): Promise<void> {
    this._begun = true;
    this._written = due.granted;
    const sends = [...due.chunks].map(([box, chunks]) => this._sendOne(box, chunks, boxes));
    await Promise.all(sends);
  }

  /** Called when the booking could not be written: nothing was sent. The next round books again. */
  discardReservation(): void {
    this._budget = this._createBudget(this._written);
    this._needsHoldings = true;
  }

  private _createBudget(granted: Readonly<Record<string, number>>): OriginBudget {
    const limit = this._options.specification.originBudgetCopies * this._options.index.totalBytes;
    return new OriginBudget(Math.floor(limit), granted);
  }

  private _answersAreIn(boxes: readonly RolloutBox[], live: readonly RolloutBox[]): boolean {
    const awaited = boxes.filter((box) => box.expected);
    if (live.length > 0 && awaited.every((box) => this._plan.hasBox(box.box))) return true;
    return live.length > 0 && this._options.clock.now() - this._firstSeenAt > FIRST_ANSWERS_MILLISECONDS;
  }

  /** Forgets boxes that are gone, restarted, leaving or stalled; what they were to draw must be looked at again. */
  private _dropLost(boxes: readonly RolloutBox[]): void {
    const usable = new Set(boxes.filter((box) => this._isUsable(box)).map((box) => box.box));
    for (const box of this._plan.boxes()) {
      if (usable.has(box)) continue;
      if (this._plan.removeBox(box)) this._needsHoldings = true;
      this._options.logger.decision('drawer.dropped', { rollout: this.rollout, peer: box });
    }
  }

  private _isUsable(box: RolloutBox): boolean {
    const incarnation = box.link?.report?.incarnation;
    return box.live && incarnation === this._incarnations.get(box.box) && !this._isStalled(box);
  }

  /** A drawer is stalled when neither its chunks nor its draws have changed for too long. */
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

  private _takeFailures(live: readonly RolloutBox[]): void {
    for (const box of live) this._plan.removeDraws(box.box, this._failuresOf(box));
  }

  /** Failed draws of a box; a report from before its last grant says nothing about that grant. */
  private _failuresOf({ box, link, report }: RolloutBox): number[] {
    if (report?.rollout !== this.rollout) return [];
    const grantedAt = this._grantedAt.get(box) ?? Number.NEGATIVE_INFINITY;
    return link!.reportedAt > grantedAt + REPORT_DELAY_MILLISECONDS ? report.failedDraws : [];
  }

  private async _askHoldings(live: readonly RolloutBox[]): Promise<void> {
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

  /** The baseline in which each box draws all that it lacks. */
  private _dueDirect(live: readonly RolloutBox[]): PendingGrants | 'over-budget' | undefined {
    const all = Array.from({ length: this._options.index.chunkCount }, (_none, index) => index);
    const chunks = new Map<string, number[]>();
    for (const box of live) {
      const missing = this._begun ? this._failuresOf(box) : all;
      if (missing.length > 0) chunks.set(box.box, [...missing]);
    }
    return chunks.size === 0 ? undefined : this._book(chunks);
  }

  private _book(chunks: Map<string, number[]>): PendingGrants | 'over-budget' {
    const bytes = new Map<string, number>();
    for (const [box, list] of chunks) bytes.set(`${box}/${this._incarnations.get(box)}`, this._bytes(list));
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
    this._plan.addDraws(box, chunks);
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
      if (!reply.accepted) this._plan.removeDraws(box, chunks);
    } catch (error) {
      this._options.logger.state('grant.failed', { peer: box, reason: errorText(error) });
    }
  }

  private _bytes(chunks: readonly number[]): number {
    return chunks.reduce((sum, chunk) => sum + (this._options.index.chunk(chunk)?.size ?? 0), 0);
  }
}
