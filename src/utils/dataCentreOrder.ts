/** An order of boxes over all data centres that every process works out alike. Pure. */
import { compareText, rendezvousOrder } from './rendezvous.js';

/** A box and where it stands. */
export interface PlacedBox {
  box: string;
  dataCentre: string;
}

/** Boxes by their rank for `key`, one of each data centre in turn, so that any first few are spread over all of them. */
export function orderAcrossDataCentres<T extends PlacedBox>(key: string, boxes: readonly T[]): T[] {
  const byDataCentre = new Map<string, T[]>();
  for (const candidate of boxes) {
    const group = byDataCentre.get(candidate.dataCentre) ?? [];
    group.push(candidate);
    byDataCentre.set(candidate.dataCentre, group);
  }
  const names = [...byDataCentre.keys()].sort(compareText);
  const ranked = names.map((name) => rendezvousOrder(key, byDataCentre.get(name)!, ({ box }) => box));
  const longest = Math.max(0, ...ranked.map((group) => group.length));
  const order: T[] = [];
  for (let rank = 0; rank < longest; rank++) {
    for (const group of ranked) if (rank < group.length) order.push(group[rank]);
  }
  return order;
}
