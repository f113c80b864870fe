/** Sends the plan of a rollout to every agent that does not have the current one. */
import type { ConfigurationName } from '../configuration/recordKeys.js';
import type { Specification } from '../configuration/template.js';
import type { Manifest } from '../protocol/manifest.js';
import type { Member, PlanMessage } from '../protocol/rolloutMessages.js';
import type { Logger } from '../telemetry/logger.js';
import { placementHash } from '../utils/hash.js';
import { errorText } from '../utils/stepError.js';
import type { OriginFetchGranter } from './originFetchGranter.js';
import type { RolloutRecord } from './rolloutRecord.js';
import type { RolloutBox } from './rolloutView.js';

export class PlanSender {
  private readonly _name: ConfigurationName;
  private readonly _epoch: () => number | undefined;
  private readonly _logger: Logger;
  /** Identifies the plan that each box last accepted. */
  private readonly _sent = new Map<string, string>();
  /** All members of the rollout so far. A lost box remains a member, so that its loss does not change the plan. */
  private _members = new Map<string, Member>();
  private _rollout = '';

  constructor(name: ConfigurationName, epoch: () => number | undefined, logger: Logger) {
    this._name = name;
    this._epoch = epoch;
    this._logger = logger;
  }

  /** Sends the plan to live boxes that do not have it, and passes their replies to `granter`. */
  async send(
    boxes: readonly RolloutBox[],
    record: RolloutRecord,
    manifest: Manifest,
    specification: Specification,
    granter: OriginFetchGranter,
  ): Promise<void> {
    this._updateMembers(boxes, record);
    const plan = this._plan(record, manifest, specification);
    const key = `${record.rollout}/${this._epoch()}/${membersHash(plan.members)}/${specification.weight}`;
    const outdated = boxes.filter(
      (box) => box.live && this._sent.get(box.box) !== `${key}/${incarnationOf(box)}`,
    );
    await Promise.all(outdated.map((box) => this._sendOne(box, plan, key, granter)));
  }

  private _updateMembers(boxes: readonly RolloutBox[], record: RolloutRecord): void {
    if (this._rollout !== record.rollout) {
      this._rollout = record.rollout;
      this._members = new Map();
    }
    for (const { box, link } of boxes) {
      if (link) this._members.set(box, link.member);
    }
  }

  private _plan(
    record: RolloutRecord,
    manifest: Manifest,
    specification: Specification,
  ): Omit<PlanMessage, 'call'> {
    return {
      type: 'plan',
      customer: this._name.customer,
      configuration: this._name.configuration,
      epoch: this._epoch() ?? 0,
      rollout: record.rollout,
      kind: record.kind,
      model: record.model,
      version: record.version,
      manifestDigest: record.manifestDigest,
      manifest,
      weight: specification.weight,
      distribution: specification.distribution,
      members: [...this._members.values()],
    };
  }

  private async _sendOne(
    box: RolloutBox,
    plan: Omit<PlanMessage, 'call'>,
    key: string,
    granter: OriginFetchGranter,
  ): Promise<void> {
    try {
      const reply = await box.link!.order(plan);
      if (!reply.accepted) {
        this._logger.state('plan.refused', { peer: box.box, reason: reply.refusal });
        return;
      }
      this._sent.set(box.box, `${key}/${incarnationOf(box)}`);
      granter.applyReply(box.box, reply);
    } catch (error) {
      this._logger.state('plan.failed', { peer: box.box, reason: errorText(error) });
    }
  }
}

function incarnationOf(box: RolloutBox): string {
  return box.link?.report?.incarnation ?? '';
}

function membersHash(members: readonly Member[]): number {
  return placementHash(...members.map((member) => `${member.box}@${member.address}:${member.controlPort}`));
}
