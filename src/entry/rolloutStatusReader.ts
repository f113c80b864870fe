/** The status of a rollout, as shown to operators. */
import type { ConfigurationName } from '../configuration/recordKeys.js';
import { configurationKey } from '../configuration/recordKeys.js';
import type { Replica } from '../configuration/replica.js';
import type { AgentLink } from '../membership/agentLink.js';
import type { AgentLinks } from '../membership/agentLinks.js';
import type { BoxListFollower } from '../membership/boxListFollower.js';
import type { Replicator } from '../membership/replicator.js';
import type { Box } from '../external/boxList.js';
import { parseRollout } from '../rollout/rolloutRecord.js';
import type { RolloutRecord } from '../rollout/rolloutRecord.js';
import type { RolloutBox } from '../rollout/rolloutView.js';
import { rolloutBoxes } from '../rollout/rolloutView.js';
import type { Specifications, WantedConfiguration } from '../rollout/specifications.js';

/** Status of a box of the rollout. */
export interface BoxStatus {
  box: string;
  dataCentre: string;
  state: string;
  activeVersion: string;
  heldChunks: number;
  totalChunks: number;
  problem: string;
}

/** Whether an entry has the current revision of the configuration. */
export interface EntryStatus {
  box: string;
  dataCentre: string;
  inForce: boolean;
}

/** A configuration and the progress of its rollout. */
export interface RolloutStatus {
  customer: string;
  configuration: string;
  revision: number;
  withdrawn: boolean;
  /** The target version; '' if there is no valid specification. */
  wantedVersion: string;
  phase: string;
  startedAt: string;
  activatedAt: string;
  completedAt: string;
  /** Number of boxes that serve the target version. */
  replicas: number;
  /** Number of boxes expected to serve it. */
  boxes: number;
  bytes: { total: number; origin: number; ownDataCentre: number; otherDataCentres: number };
  /** Reasons why the rollout doesn't proceed. */
  heldBackBy: string[];
  entries: EntryStatus[];
  perBox: BoxStatus[];
}

export interface StatusReaderOptions {
  box: string;
  replica: Replica;
  specifications: Specifications;
  boxes: BoxListFollower;
  links: AgentLinks;
  replicator: Replicator;
}

export class RolloutStatusReader {
  private readonly _options: StatusReaderOptions;

  constructor(options: StatusReaderOptions) {
    this._options = options;
  }

  /** Returns undefined if this entry has never known the configuration. */
  async status(name: ConfigurationName): Promise<RolloutStatus | undefined> {
    const wanted = this._options.specifications.find(name);
    if (!wanted) return undefined;
    const record = parseRollout(this._options.replica.value(configurationKey('rollout', name)));
    const { boxes, links } = this._options;
    const members = wanted.specification ? rolloutBoxes(name, wanted.specification, boxes, links) : [];
    const expected = members.filter((member) => member.expected);
    const { startedAt, activatedAt, completedAt } = record ?? NOT_STARTED;
    return {
      ...name,
      revision: wanted.revision,
      withdrawn: wanted.withdrawn,
      wantedVersion: wanted.specification?.version ?? '',
      phase: record?.phase ?? (wanted.withdrawn ? 'withdrawn' : 'waiting'),
      startedAt,
      activatedAt,
      completedAt,
      replicas: expected.filter((member) => servesTargetVersion(member, wanted)).length,
      boxes: expected.length,
      bytes: bytesOf(record, members),
      heldBackBy: heldBackBy(wanted, record, expected),
      entries: await this._entries(name, wanted.revision),
      perBox: members.map((member) => this._boxStatus(member)),
    };
  }

  private async _entries(name: ConfigurationName, revision: number): Promise<EntryStatus[]> {
    const key = configurationKey('configuration', name);
    const entries = this._options.boxes.withRole('entry');
    return await Promise.all(entries.map((entry) => this._entryStatus(entry, key, revision)));
  }

  private async _entryStatus(entry: Box, key: string, revision: number): Promise<EntryStatus> {
    const { box, dataCentre } = entry;
    if (box === this._options.box) return { box, dataCentre, inForce: true };
    const known = await this._options.replicator.revisionAt(box, key);
    return { box, dataCentre, inForce: known !== undefined && known >= revision };
  }

  private _boxStatus({ box, live, report, link }: RolloutBox): BoxStatus {
    const dataCentre = this._options.boxes.get(box)?.dataCentre ?? '';
    const state = live ? (report?.state ?? 'waiting') : unreachableState(link);
    if (!report)
      return { box, dataCentre, state, activeVersion: '', heldChunks: 0, totalChunks: 0, problem: '' };
    const { activeVersion, heldChunks, totalChunks, problem } = report;
    return { box, dataCentre, state, activeVersion, heldChunks, totalChunks, problem };
  }
}

const NOT_STARTED = { startedAt: '', activatedAt: '', completedAt: '' };

function unreachableState(link: AgentLink | undefined): string {
  return link?.report?.leaving ? 'leaving' : 'unreachable';
}

function bytesOf(record: RolloutRecord | undefined, members: readonly RolloutBox[]): RolloutStatus['bytes'] {
  const bytes = { total: record?.totalBytes ?? 0, origin: 0, ownDataCentre: 0, otherDataCentres: 0 };
  for (const { report } of members) {
    if (report?.rollout !== record?.rollout) continue;
    bytes.origin += report?.originBytes ?? 0;
    bytes.ownDataCentre += report?.peerBytes ?? 0;
    bytes.otherDataCentres += report?.crossDataCentreBytes ?? 0;
  }
  return bytes;
}

function servesTargetVersion(member: RolloutBox, wanted: WantedConfiguration): boolean {
  return (
    member.live &&
    member.report !== undefined &&
    member.report.activeVersion === wanted.specification?.version
  );
}

function heldBackBy(
  wanted: WantedConfiguration,
  record: RolloutRecord | undefined,
  expected: readonly RolloutBox[],
): string[] {
  if (wanted.withdrawn) return [];
  if (!wanted.specification) return ['the configuration does not fit its template'];
  const reasons = expected.flatMap((member) => reasonsOf(member));
  if (expected.length === 0) reasons.push('the platform lists none of the named boxes');
  if (record?.heldBack) reasons.push(record.heldBack);
  return record?.phase === 'complete' && record.version === wanted.specification.version ? [] : reasons;
}

function reasonsOf({ box, live, report }: RolloutBox): string[] {
  if (!live) return [`${box} is unreachable`];
  return report?.problem ? [`${box}: ${report.problem}`] : [];
}
