/** Priority of uploads by the box that requests the chunk. */
import type { Member } from '../protocol/rolloutMessages.js';
import type { UploadPriority } from '../weights/uploadQueue.js';
import { switchOrder } from './originFetchSchedule.js';

/**
 * Share of the boxes that receive their chunks before the others: those that come first in the order of switching. The
 * switch can then begin early and be spread over all of the available time.
 */
const EARLY_SHARE = 1 / 3;

export class UploadPriorities {
  private readonly _dataCentre: string;
  private readonly _members: () => readonly Member[];
  /** Early boxes by rollout, computed from the members in `_earlyMembers`. */
  private readonly _early = new Map<string, ReadonlySet<string>>();
  private _earlyMembers: readonly Member[] = [];

  /** `dataCentre` is that of this box; `members` returns all boxes of the service. */
  constructor(dataCentre: string, members: () => readonly Member[]) {
    this._dataCentre = dataCentre;
    this._members = members;
  }

  /** Returns the priority of chunks of `rollout` that `box` requests. */
  priorityFor(box: string, rollout: string): UploadPriority {
    const member = this._members().find((candidate) => candidate.box === box);
    if (member && member.dataCentre !== this._dataCentre) return 'other-data-centre';
    return this._earlyBoxes(rollout).has(box) ? 'early' : 'usual';
  }

  private _earlyBoxes(rollout: string): ReadonlySet<string> {
    const members = this._members();
    if (members !== this._earlyMembers) this._early.clear();
    this._earlyMembers = members;
    let early = this._early.get(rollout);
    if (!early) {
      early = new Set(switchOrder(rollout, members).slice(0, Math.ceil(members.length * EARLY_SHARE)));
      this._early.set(rollout, early);
    }
    return early;
  }
}
