/** Finds this entry's share of a cold server among the entries that it knows. */
import type { PlacedBox } from '../utils/dataCentreOrder.js';
import { rendezvousOrder } from '../utils/rendezvous.js';
import type { ColdDivision, ColdShare } from './coldShare.js';
import { divideColdRate, shareAmongUnknown } from './coldShare.js';

export interface ColdSharersOptions {
  /** Id of the server. */
  server: string;
  /** Returns the data centre of the server. */
  dataCentre: () => string;
  /** Box of this entry. */
  own: string;
  /** Returns all entries including this one; undefined until they are known. The list is replaced when it changes. */
  entries: () => readonly PlacedBox[] | undefined;
}

/** The place of this entry among those that may hold a share. */
interface Place {
  /** Position in the order that all entries compute; -1 if this entry is not a candidate. */
  rank: number;
  candidates: number;
}

/** Caches what depends on the entries only, because the share is read for each server and request. */
export class ColdSharers {
  private readonly _options: ColdSharersOptions;
  private _placedFor: readonly PlacedBox[] | undefined;
  private _placedIn = '';
  private _place: Place = { rank: -1, candidates: 0 };
  private _divided: { perSecond: number; candidates: number; division: ColdDivision } | undefined;

  constructor(options: ColdSharersOptions) {
    this._options = options;
  }

  /** The share of this entry when the server handles `coldPerSecond`; undefined if only other entries may send. */
  share(coldPerSecond: number): ColdShare | undefined {
    const entries = this._options.entries();
    if (!entries) return shareAmongUnknown(coldPerSecond);
    const { rank, candidates } = this._placeAmong(entries);
    const { holders, share } = this._divide(coldPerSecond, candidates);
    return rank >= 0 && rank < holders ? share : undefined;
  }

  /** The candidates are the entries in the server's data centre, or all entries if it has none. */
  private _placeAmong(entries: readonly PlacedBox[]): Place {
    const { server, own } = this._options;
    const dataCentre = this._options.dataCentre();
    if (entries === this._placedFor && dataCentre === this._placedIn) return this._place;
    const sameDataCentre = entries.filter((entry) => entry.dataCentre === dataCentre);
    const candidates = sameDataCentre.length > 0 ? sameDataCentre : entries;
    const order = rendezvousOrder(server, candidates, ({ box }) => box);
    this._place = { rank: order.findIndex(({ box }) => box === own), candidates: candidates.length };
    this._placedFor = entries;
    this._placedIn = dataCentre;
    return this._place;
  }

  private _divide(perSecond: number, candidates: number): ColdDivision {
    if (this._divided?.perSecond !== perSecond || this._divided.candidates !== candidates)
      this._divided = { perSecond, candidates, division: divideColdRate(perSecond, candidates) };
    return this._divided.division;
  }
}
