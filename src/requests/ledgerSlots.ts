/** The table that assigns each slot of a service's idempotency key space to an agent incarnation. Pure functions. */
import { z } from 'zod';
import type { LedgerSlot } from '../protocol/rolloutMessages.js';
import { countSchema, nameSchema } from '../protocol/index.js';
import { placementHash } from '../utils/hash.js';

/** Number of slots into which the key space of a service is split. */
export const LEDGER_SLOT_COUNT = 32;

/** Owner of a slot. `epoch` grows with each change of owner; `blind` is set when an earlier owner's keys were lost. */
export const slotOwnerSchema = z.object({
  box: nameSchema,
  incarnation: z.string(),
  epoch: countSchema,
  blind: z.boolean(),
});
export type SlotOwner = z.infer<typeof slotOwnerSchema>;

/** The stored ledger object of a configuration. */
export const ledgerRecordSchema = z.object({
  slots: z.array(slotOwnerSchema).length(LEDGER_SLOT_COUNT),
  changeId: z.string(),
});
export type LedgerRecord = z.infer<typeof ledgerRecordSchema>;

/** An agent process that can own slots. */
export interface LedgerCandidate {
  box: string;
  incarnation: string;
}

/** Returns the slot of a caller's key. */
export function slotOfKey(key: string): number {
  return placementHash('ledger', key) % LEDGER_SLOT_COUNT;
}

/**
 * `lost`: the agent process has certainly ended, and its keys with it. `handed-over`: it has given up its slots and its
 * keys have been imported by others.
 */
export type OwnerStatus = 'owns' | 'lost' | 'handed-over';

/**
 * Assigns every slot without an owner, or whose owner is lost or has handed over, to the candidate with the fewest
 * slots. An owner that is merely silent keeps its slots, since it may still be running requests.
 */
export function assignSlots(
  current: readonly SlotOwner[],
  candidates: readonly LedgerCandidate[],
  statusOf: (owner: SlotOwner) => OwnerStatus,
): SlotOwner[] {
  const load = new Map(candidates.map((candidate) => [identityOf(candidate), 0]));
  for (const owner of current) {
    if (statusOf(owner) === 'owns') load.set(identityOf(owner), (load.get(identityOf(owner)) ?? 0) + 1);
  }
  return Array.from({ length: LEDGER_SLOT_COUNT }, (_unused, slot) => {
    const owner = current[slot];
    if ((owner && statusOf(owner) === 'owns') || candidates.length === 0) return owner;
    const next = leastLoaded(candidates, load);
    load.set(identityOf(next), load.get(identityOf(next))! + 1);
    return { ...next, epoch: (owner?.epoch ?? 0) + 1, blind: isBlind(owner, statusOf) };
  });
}

/** Returns the slots owned by one incarnation, in the form in which they are sent to the agent. */
export function slotsOf(slots: readonly SlotOwner[], candidate: LedgerCandidate): LedgerSlot[] {
  const own: LedgerSlot[] = [];
  slots.forEach((owner, slot) => {
    if (owner && identityOf(owner) === identityOf(candidate))
      own.push({ slot, slotEpoch: owner.epoch, blind: owner.blind });
  });
  return own;
}

/** Order-independent hash of slots and their epochs; 0 for no slots. */
export function ledgerHash(slots: readonly LedgerSlot[]): number {
  return (
    slots.reduce((hash, { slot, slotEpoch }) => hash ^ placementHash(String(slot), String(slotEpoch)), 0) >>>
    0
  );
}

/** Whether the next owner of a slot is blind: the previous owner was lost, or was blind itself when it handed over. */
function isBlind(before: SlotOwner | undefined, statusOf: (owner: SlotOwner) => OwnerStatus): boolean {
  return before !== undefined && (statusOf(before) === 'lost' || before.blind);
}

/** Returns `box/incarnation`, which identifies one agent process. */
export function identityOf(candidate: LedgerCandidate): string {
  return `${candidate.box}/${candidate.incarnation}`;
}

function leastLoaded(
  candidates: readonly LedgerCandidate[],
  load: ReadonlyMap<string, number>,
): LedgerCandidate {
  let best = candidates[0];
  for (const candidate of candidates) {
    if (load.get(identityOf(candidate))! < load.get(identityOf(best))!) best = candidate;
  }
  return { box: best.box, incarnation: best.incarnation };
}
