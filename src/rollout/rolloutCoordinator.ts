/** Brings the boxes of one configuration to its target version, while this entry holds the lease. */
import { randomUUID } from 'node:crypto';
import type { ConfigurationName } from '../configuration/recordKeys.js';
import { configurationKey, shortName } from '../configuration/recordKeys.js';
import type { ParsedRecords } from '../configuration/parsedRecords.js';
import type { Replica } from '../configuration/replica.js';
import type { ConditionalWriter } from '../configuration/conditionalWriter.js';
import type { Specification } from '../configuration/template.js';
import type { AgentLink } from '../membership/agentLink.js';
import type { AgentLinks } from '../membership/agentLinks.js';
import type { BoxListFollower } from '../membership/boxListFollower.js';
import type { Origin } from '../external/origin.js';
import type { Manifest } from '../protocol/manifest.js';
import type { LedgerRecord } from '../requests/ledgerSlots.js';
import type { Logger } from '../telemetry/logger.js';
import type { Clock } from '../utils/clock.js';
import { errorText } from '../utils/stepError.js';
import { ManifestIndex } from '../weights/manifestIndex.js';
import { OriginFetchGranter } from './originFetchGranter.js';
import { LedgerAssigner } from './ledgerAssigner.js';
import { PlanSender } from './planSender.js';
import type { RolloutRecord } from './rolloutRecord.js';
import type { RolloutBox } from './rolloutView.js';
import { rolloutBoxes, serviceReport, linksToWithdraw } from './rolloutView.js';
import type { Specifications } from './specifications.js';

/** Dependencies that all coordinators of an entry share. */
export interface CoordinatorServices {
  replica: Replica;
  rollouts: ParsedRecords<RolloutRecord>;
  ledgers: ParsedRecords<LedgerRecord>;
  writer: ConditionalWriter;
  specifications: Specifications;
  boxes: BoxListFollower;
  links: AgentLinks;
  origin: Origin;
  clock: Clock;
  logger: Logger;
}

/** How long a box may be unreachable before a `together` switch goes on without it. */
const UNREACHABLE_MILLISECONDS = 10_000;

/** Coordinates for one epoch of the lease. `step` is called repeatedly and does whatever is needed next. */
export class RolloutCoordinator {
  private readonly _services: CoordinatorServices;
  private readonly _name: ConfigurationName;
  private readonly _epoch: () => number | undefined;
  private readonly _plans: PlanSender;
  private readonly _ledger: LedgerAssigner;
  private _granter: OriginFetchGranter | undefined;
  private _index: ManifestIndex | undefined;
  private _activating = new Set<string>();

  /** `epoch` returns the epoch for orders that are sent now; undefined when the lease is not held. */
  constructor(services: CoordinatorServices, name: ConfigurationName, epoch: () => number | undefined) {
    this._services = services;
    this._name = name;
    this._epoch = epoch;
    this._plans = new PlanSender(name, epoch, services.logger);
    this._ledger = new LedgerAssigner(services, name, epoch);
  }

  /** Compares the specified with the current state and does what is needed next. */
  async step(): Promise<void> {
    const wanted = this._services.specifications.find(this._name);
    if (wanted?.withdrawn) return await this._withdraw();
    if (!wanted?.specification) return;
    const specification = wanted.specification;
    const record = await this._currentRecord(specification, wanted.revision);
    const index = record && (await this._manifestOf(record));
    if (!record || !index || this._epoch() === undefined) return;
    const boxes = rolloutBoxes(this._name, specification, this._services.boxes, this._services.links);
    const granter = this._granterFor(record, index, specification);
    await this._plans.send(boxes, record, index.manifest, specification, granter);
    await this._grant(granter, boxes, record);
    await this._advancePhase(record, specification, boxes);
    this._activate(record, boxes);
    await this._ledger.step(record, boxes);
    await this._withdrawFrom(linksToWithdraw(this._name, specification, this._services.links));
  }

  private _record(): RolloutRecord | undefined {
    return this._services.rollouts.get(this._key());
  }

  private _key(): string {
    return configurationKey('rollout', this._name);
  }

  /** Returns the record of the current rollout; starts a new rollout when the target version has changed. */
  private async _currentRecord(
    specification: Specification,
    revision: number,
  ): Promise<RolloutRecord | undefined> {
    const record = this._record();
    const same = record?.model === specification.model && record.version === specification.version;
    if (record && same && record.kind === specification.kind) return record;
    const manifest = await this._readManifest(specification);
    if (!manifest) return undefined;
    const index = new ManifestIndex(manifest);
    this._index = index;
    this._granter = undefined;
    return await this._write({
      rollout: `${shortName(this._name)}.${specification.version}.${revision}`,
      kind: specification.kind,
      model: specification.model,
      version: specification.version,
      manifestDigest: index.digest,
      totalBytes: index.totalBytes,
      phase: 'staging',
      granted: {},
      heldBack: '',
      startedAt: new Date().toISOString(),
      activatedAt: '',
      completedAt: '',
    });
  }

  private async _write(record: Omit<RolloutRecord, 'changeId'>): Promise<RolloutRecord | undefined> {
    const { writer, replica, logger } = this._services;
    const value = { ...record, changeId: randomUUID() };
    const outcome = await writer.put(this._key(), value, replica.liveRevision(this._key()));
    if (outcome.kind !== 'written') {
      logger.state('rollout.write-failed', { rollout: record.rollout, outcome: outcome.kind });
      return undefined;
    }
    logger.state('rollout.phase', {
      rollout: record.rollout,
      phase: record.phase,
      heldBack: record.heldBack,
    });
    return value;
  }

  private async _manifestOf(record: RolloutRecord): Promise<ManifestIndex | undefined> {
    if (this._index?.digest === record.manifestDigest) return this._index;
    const manifest = await this._readManifest(record);
    const index = manifest && new ManifestIndex(manifest);
    if (index?.digest !== record.manifestDigest) return undefined;
    this._index = index;
    return index;
  }

  private async _readManifest(
    versionToRead: Pick<Specification, 'kind' | 'model' | 'version'>,
  ): Promise<Manifest | undefined> {
    if (versionToRead.kind === 'plain')
      return { model: versionToRead.model, version: versionToRead.version, chunks: [] };
    try {
      return await this._services.origin.manifest(
        this._name.customer,
        versionToRead.model,
        versionToRead.version,
      );
    } catch (error) {
      this._services.logger.state('manifest.failed', {
        configuration: shortName(this._name),
        reason: errorText(error),
      });
      return undefined;
    }
  }

  private _granterFor(
    record: RolloutRecord,
    index: ManifestIndex,
    specification: Specification,
  ): OriginFetchGranter {
    if (this._granter?.rollout !== record.rollout) {
      this._granter = new OriginFetchGranter({
        name: this._name,
        epoch: this._epoch,
        rollout: record.rollout,
        index,
        specification,
        granted: record.granted,
        clock: this._services.clock,
        logger: this._services.logger,
      });
    }
    return this._granter;
  }

  /** Writes grants to the rollout object before they are sent, so that the next coordinator counts them. */
  private async _grant(
    granter: OriginFetchGranter,
    boxes: readonly RolloutBox[],
    record: RolloutRecord,
  ): Promise<void> {
    const grants = await granter.nextGrants(boxes);
    if (grants === undefined) return;
    if (grants === 'over-budget') return await this._holdBack(record, 'the origin budget is used up');
    const written = await this._write({ ...this._record()!, granted: grants.granted, heldBack: '' });
    if (written) await granter.send(grants, boxes);
    else granter.discardReservation();
  }

  private async _holdBack(record: RolloutRecord, reason: string): Promise<void> {
    if (record.heldBack !== reason) await this._write({ ...record, heldBack: reason });
  }

  private async _advancePhase(
    before: RolloutRecord,
    specification: Specification,
    boxes: readonly RolloutBox[],
  ): Promise<void> {
    const record = this._record();
    if (!record || record.rollout !== before.rollout) return;
    if (record.phase === 'staging' && this._canActivate(record, specification, boxes)) {
      await this._write({ ...record, phase: 'active', heldBack: '', activatedAt: new Date().toISOString() });
    } else if (record.phase === 'active' && allSwitched(record, boxes)) {
      await this._write({ ...record, phase: 'complete', completedAt: new Date().toISOString() });
    }
  }

  private _canActivate(
    record: RolloutRecord,
    specification: Specification,
    boxes: readonly RolloutBox[],
  ): boolean {
    const ready = boxes.filter((box) => box.live && isReady(record, box)).length;
    if (ready < Math.min(specification.leastReadyReplicas, specification.boxes.length) || ready === 0)
      return false;
    if (specification.switch === 'rolling') return true;
    return boxes.every((box) => !this._isAwaited(box) || isReady(record, box));
  }

  private _isAwaited(box: RolloutBox): boolean {
    return box.expected && (!box.link || box.link.lostFor < UNREACHABLE_MILLISECONDS);
  }

  /** Orders every box with the loaded version to switch to it. The agents' reports show when that is done. */
  private _activate(before: RolloutRecord, boxes: readonly RolloutBox[]): void {
    const record = this._record();
    if (!record || record.rollout !== before.rollout || record.phase === 'staging') return;
    for (const { box, link, live, report } of boxes) {
      if (!live || report?.rollout !== record.rollout || report.state !== 'loaded') continue;
      if (this._activating.has(box)) continue;
      this._activating.add(box);
      void this._sendActivate(box, () =>
        link!.order({ ...this._orderFields(), type: 'activate', rollout: record.rollout }),
      );
    }
  }

  private async _sendActivate(
    box: string,
    send: () => Promise<{ accepted: boolean; refusal?: string }>,
  ): Promise<void> {
    try {
      const { accepted, refusal } = await send();
      if (!accepted) this._services.logger.state('activate.refused', { peer: box, reason: refusal });
    } catch (error) {
      this._services.logger.state('activate.failed', { peer: box, reason: errorText(error) });
    } finally {
      this._activating.delete(box);
    }
  }

  private _orderFields(): { customer: string; configuration: string; epoch: number } {
    const { customer, configuration } = this._name;
    return { customer, configuration, epoch: this._epoch() ?? 0 };
  }

  private async _withdrawFrom(links: readonly AgentLink[]): Promise<void> {
    await Promise.allSettled(links.map((link) => link.order({ ...this._orderFields(), type: 'withdraw' })));
  }

  /** Withdraws the configuration from every box, then deletes its rollout and ledger objects. */
  private async _withdraw(): Promise<void> {
    const { links, replica, writer } = this._services;
    const serving = links.all().filter((link) => link.connected && serviceReport(link, this._name));
    if (serving.length > 0) return await this._withdrawFrom(serving);
    for (const kind of ['rollout', 'ledger'] as const) {
      const key = configurationKey(kind, this._name);
      const revision = replica.liveRevision(key);
      if (revision > 0) await writer.delete(key, revision);
    }
  }
}

/** Whether a box has loaded the version or serves it. */
function isReady(record: RolloutRecord, box: RolloutBox): boolean {
  if (box.report?.activeRollout === record.rollout) return true;
  return box.report?.rollout === record.rollout && box.report.state === 'loaded';
}

function allSwitched(record: RolloutRecord, boxes: readonly RolloutBox[]): boolean {
  const live = boxes.filter((box) => box.expected && box.live);
  return live.length > 0 && live.every((box) => box.report?.activeRollout === record.rollout);
}
