/** Decides whether a configuration needs a coordinator now. */
import { configurationKey } from '../configuration/recordKeys.js';
import type { ParsedRecords } from '../configuration/parsedRecords.js';
import type { AgentLinks } from '../membership/agentLinks.js';
import type { BoxListFollower } from '../membership/boxListFollower.js';
import type { LedgerRecord, SlotOwner } from '../requests/ledgerSlots.js';
import { isOwnerGone, hasCurrentSlots, ledgerCandidates, mustHandOver } from './ledgerAssigner.js';
import type { RolloutRecord } from './rolloutRecord.js';
import type { RolloutBox } from './rolloutView.js';
import { rolloutBoxes, serviceReport, linksToWithdraw } from './rolloutView.js';
import type { WantedConfiguration } from './specifications.js';

/** The state on which the decision is based. */
export interface NeedsCoordinatorInput {
  rollouts: ParsedRecords<RolloutRecord>;
  ledgers: ParsedRecords<LedgerRecord>;
  boxes: BoxListFollower;
  links: AgentLinks;
}

/**
 * Whether anything remains to be done for a configuration. Compares it with its rollout object, the agents' reports and
 * the ledger table.
 */
export function needsCoordinator(wanted: WantedConfiguration, state: NeedsCoordinatorInput): boolean {
  const record = state.rollouts.get(configurationKey('rollout', wanted.name));
  if (wanted.withdrawn) return record !== undefined || isServedAnywhere(wanted, state.links);
  const { specification } = wanted;
  if (!specification) return false;
  if (record?.phase !== 'complete') return true;
  if (record.model !== specification.model || record.version !== specification.version) return true;
  const boxes = rolloutBoxes(wanted.name, specification, state.boxes, state.links);
  if (linksToWithdraw(wanted.name, specification, state.links).length > 0) return true;
  return boxes.some((box) => lacksVersion(box, record)) || needsLedgerUpdate(wanted, boxes, state);
}

function isServedAnywhere(wanted: WantedConfiguration, links: AgentLinks): boolean {
  return links.all().some((link) => link.connected && serviceReport(link, wanted.name) !== undefined);
}

function lacksVersion(box: RolloutBox, record: RolloutRecord): boolean {
  return box.expected && box.live && box.report?.activeRollout !== record.rollout;
}

function needsLedgerUpdate(
  wanted: WantedConfiguration,
  boxes: readonly RolloutBox[],
  state: NeedsCoordinatorInput,
): boolean {
  const candidates = ledgerCandidates(boxes);
  if (candidates.length === 0) return false;
  const table = state.ledgers.get(configurationKey('ledger', wanted.name));
  if (!table) return true;
  const mustReplace = (owner: SlotOwner): boolean =>
    isOwnerGone(owner, state.boxes, state.links) || mustHandOver(owner, boxes, state.links);
  if (table.slots.some(mustReplace)) return true;
  return boxes.some((box) => box.live && !hasCurrentSlots(box, table.slots));
}
