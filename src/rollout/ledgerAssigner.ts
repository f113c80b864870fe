/**
 * Assigns the ledger slots of a configuration to its live agents. The agent that owns a slot remembers the idempotency
 * keys of that slot.
 */
import { randomUUID } from 'node:crypto';
import type { ConfigurationName } from '../configuration/recordKeys.js';
import { configurationKey, shortName } from '../configuration/recordKeys.js';
import type { ParsedRecords } from '../configuration/parsedRecords.js';
import type { Replica } from '../configuration/replica.js';
import type { ConditionalWriter } from '../configuration/conditionalWriter.js';
import type { AgentLinks } from '../membership/agentLinks.js';
import type { BoxListFollower } from '../membership/boxListFollower.js';
import type { LedgerSlot, ReplyMessage } from '../protocol/rolloutMessages.js';
import { splitKeys } from '../requests/keyParts.js';
import type { LedgerCandidate, LedgerRecord, OwnerStatus, SlotOwner } from '../requests/ledgerSlots.js';
import { assignSlots, identityOf, ledgerHash, ledgerRecordSchema, slotsOf } from '../requests/ledgerSlots.js';
import type { Logger } from '../telemetry/logger.js';
import { errorText } from '../utils/stepError.js';
import type { RolloutRecord } from './rolloutRecord.js';
import type { RolloutBox } from './rolloutView.js';

/** Dependencies of a {@link LedgerAssigner}. */
export interface LedgerAssignerServices {
  replica: Replica;
  ledgers: ParsedRecords<LedgerRecord>;
  writer: ConditionalWriter;
  boxes: BoxListFollower;
  links: AgentLinks;
  logger: Logger;
}

/** Writes the table before it informs the owners, so that two incarnations never own a slot under the same epoch. */
export class LedgerAssigner {
  private readonly _services: LedgerAssignerServices;
  private readonly _name: ConfigurationName;
  private readonly _epoch: () => number | undefined;

  constructor(services: LedgerAssignerServices, name: ConfigurationName, epoch: () => number | undefined) {
    this._services = services;
    this._name = name;
    this._epoch = epoch;
  }

  /** Assigns free slots once the first rollout is complete, and sends each agent its slots. */
  async step(rollout: RolloutRecord, boxes: readonly RolloutBox[]): Promise<void> {
    const key = configurationKey('ledger', this._name);
    const table = this._services.ledgers.get(key);
    if (!table && rollout.phase !== 'complete') return;
    const candidates = ledgerCandidates(boxes);
    if (candidates.length === 0) return;
    const handedOver = await this._exportKeys(table?.slots ?? [], boxes);
    const statusOf = (owner: SlotOwner): OwnerStatus =>
      handedOver.has(identityOf(owner)) ? 'handed-over' : this._ownerStatusOf(owner);
    const slots = assignSlots(table?.slots ?? [], candidates, statusOf);
    if (!(await this._importKeys(table?.slots ?? [], slots, handedOver))) return;
    if (!table || haveOwnersChanged(table.slots, slots)) {
      const value = { slots, changeId: randomUUID() };
      const outcome = await this._services.writer.put(key, value, this._services.replica.liveRevision(key));
      this._services.logger.state('ledger.assigned', {
        configuration: shortName(this._name),
        outcome: outcome.kind,
      });
      if (outcome.kind !== 'written') return;
    }
    await this._sendSlots(slots, boxes);
  }

  /**
   * Exports the keys of owners that are leaving or no longer belong to the configuration. Returns them by
   * `box/incarnation` of the owner.
   */
  private async _exportKeys(
    slots: readonly SlotOwner[],
    boxes: readonly RolloutBox[],
  ): Promise<Map<string, string[]>> {
    const keys = new Map<string, string[]>();
    const owners = new Map(slots.map((owner) => [identityOf(owner), owner]));
    for (const [identity, owner] of owners) {
      if (this._ownerStatusOf(owner) !== 'owns' || !mustHandOver(owner, boxes, this._services.links))
        continue;
      const exported = await this._exportKeysOf(owner.box);
      if (exported) keys.set(identity, exported);
    }
    return keys;
  }

  /** Returns all keys of the agent on `box`; undefined if it refuses, or does not answer, for any part of them. */
  private async _exportKeysOf(box: string): Promise<string[] | undefined> {
    const keys: string[] = [];
    for (;;) {
      const reply = await this._order(box, { type: 'ledger-export', after: keys.at(-1) ?? '' });
      if (!reply?.accepted || !reply.keys) return undefined;
      for (const key of reply.keys) keys.push(key);
      if (!reply.more || reply.keys.length === 0) return keys;
    }
  }

  /**
   * Sends exported keys to the new owners, before the table is written. Returns false when a new owner refused them or
   * did not answer.
   */
  private async _importKeys(
    before: readonly SlotOwner[],
    after: readonly SlotOwner[],
    handedOver: ReadonlyMap<string, string[]>,
  ): Promise<boolean> {
    for (const [identity, keys] of handedOver) {
      const newOwners = new Set(
        after.filter((_owner, slot) => identityOf(before[slot]) === identity).map((owner) => owner.box),
      );
      for (const newOwner of newOwners) if (!(await this._importKeysAt(newOwner, keys))) return false;
    }
    return true;
  }

  private async _importKeysAt(box: string, keys: readonly string[]): Promise<boolean> {
    for (const part of splitKeys(keys)) {
      const reply = await this._order(box, { type: 'ledger-import', keys: part });
      if (!reply?.accepted) return false;
    }
    return true;
  }

  private _ownerStatusOf(owner: SlotOwner): OwnerStatus {
    return isOwnerGone(owner, this._services.boxes, this._services.links) ? 'lost' : 'owns';
  }

  private async _order(
    box: string,
    order:
      | { type: 'ledger-export'; after: string }
      | { type: 'ledger-import'; keys: string[] }
      | { type: 'ledger'; slots: LedgerSlot[] },
  ): Promise<ReplyMessage | undefined> {
    const epoch = this._epoch();
    const link = this._services.links.get(box);
    if (epoch === undefined || !link) return undefined;
    try {
      return await link.order({ ...order, ...this._name, epoch });
    } catch (error) {
      this._services.logger.state('ledger.failed', {
        peer: box,
        order: order.type,
        reason: errorText(error),
      });
      return undefined;
    }
  }

  private async _sendSlots(slots: readonly SlotOwner[], boxes: readonly RolloutBox[]): Promise<void> {
    const outdated = boxes.filter((box) => box.live && !hasCurrentSlots(box, slots));
    await Promise.all(
      outdated.map(async ({ box, link }) => {
        const own = slotsOf(slots, { box, incarnation: link!.report!.incarnation });
        await this._order(box, { type: 'ledger', slots: own });
      }),
    );
  }
}

/** Whether an owner is still connected but is leaving or no longer belongs to the configuration. */
export function mustHandOver(owner: SlotOwner, boxes: readonly RolloutBox[], links: AgentLinks): boolean {
  if (!links.get(owner.box)?.connected) return false;
  const box = boxes.find((candidate) => candidate.box === owner.box);
  return !box?.expected;
}

/** Parses a ledger object; undefined when it is missing or invalid. */
export function parseLedger(value: unknown): LedgerRecord | undefined {
  const parsed = ledgerRecordSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** Whether the agent's last report matches the slots that the table assigns to it; also true without a report. */
export function hasCurrentSlots(box: RolloutBox, slots: readonly SlotOwner[]): boolean {
  const incarnation = box.link?.report?.incarnation;
  if (!incarnation || !box.report) return true;
  return box.report.ledgerHash === ledgerHash(slotsOf(slots, { box: box.box, incarnation }));
}

/** Returns the boxes that serve the configuration now and so can own slots. */
export function ledgerCandidates(boxes: readonly RolloutBox[]): LedgerCandidate[] {
  return boxes
    .filter((box) => box.expected && box.live && box.report?.activeRollout)
    .map(({ box, link }) => ({ box, incarnation: link!.report!.incarnation }));
}

/**
 * Whether the owner has certainly ended: another incarnation is connected from its box, or the platform no longer lists
 * the box.
 */
export function isOwnerGone(owner: SlotOwner, boxes: BoxListFollower, links: AgentLinks): boolean {
  if (!boxes.synchronised) return false;
  if (!boxes.get(owner.box)) return true;
  const link = links.get(owner.box);
  return (
    link?.connected === true && link.report !== undefined && link.report.incarnation !== owner.incarnation
  );
}

function haveOwnersChanged(before: readonly SlotOwner[], after: readonly SlotOwner[]): boolean {
  return after.some((owner, slot) => owner !== before[slot]);
}
