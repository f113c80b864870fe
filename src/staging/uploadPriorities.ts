/** Priority of uploads by the box that requests the chunk. */
import type { Member } from '../protocol/rolloutMessages.js';
import type { UploadRequest } from '../weights/uploadOrder.js';
import { switchOrder } from './originFetchSchedule.js';

/**
 * Share of the boxes that receive their chunks before the others: those that come first in the order of switching. The
 * switch can then begin early and be spread over all of the available time.
 */
const EARLY_SHARE = 1 / 3;

export class UploadPriorities {
  private readonly _dataCentre: string;
  private readonly _members: () => readonly Member[];
  /** Positions in the order of switching by rollout and box, computed from the members in `_rankedMembers`. */
  private readonly _ranks = new Map<string, ReadonlyMap<string, number>>();
  private _rankedMembers: readonly Member[] = [];

  /** `dataCentre` is that of this box; `members` returns all boxes of the service. */
  constructor(dataCentre: string, members: () => readonly Member[]) {
    this._dataCentre = dataCentre;
    this._members = members;
  }

  /** Returns the priority and rank of chunks of `rollout` that `box` requests. */
  priorityFor(box: string, rollout: string): Pick<UploadRequest, 'priority' | 'rank'> {
    const members = this._members();
    const member = members.find((candidate) => candidate.box === box);
    if (member && member.dataCentre !== this._dataCentre) return { priority: 'other-data-centre' };
    const rank = this._ranksOf(rollout).get(box);
    if (rank === undefined) return { priority: 'usual', rank: members.length };
    return { priority: rank < members.length * EARLY_SHARE ? 'early' : 'usual', rank };
  }

  private _ranksOf(rollout: string): ReadonlyMap<string, number> {
    const members = this._members();
    if (members !== this._rankedMembers) this._ranks.clear();
    this._rankedMembers = members;
    let ranks = this._ranks.get(rollout);
    if (!ranks) {
      ranks = new Map(switchOrder(rollout, members).map((box, rank) => [box, rank]));
      this._ranks.set(rollout, ranks);
    }
    return ranks;
  }
}
