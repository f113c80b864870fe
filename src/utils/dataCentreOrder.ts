/** A deterministic order of boxes over all data centres, the same in every process. */
import { compareText, rendezvousOrder } from './rendezvous.js';

/** A box and its data centre. */
export interface PlacedBox {
  box: string;
  dataCentre: string;
}

/**
 * Orders boxes by their rendezvous rank for `key`, taking one box of each data centre in turn, so that any prefix of
 * the result is spread over the data centres.
 */
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
