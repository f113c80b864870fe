/** The addresses that callers are told to use. Pure. */
import type { Box } from '../external/boxList.js';
import { compareText, rendezvousOrder } from '../utils/rendezvous.js';

/** An entry as callers see it. */
export interface EntryAddress {
  dataCentre: string;
  url: string;
}

/** The caller's data centre first; within a data centre each asker gets an order of its own, so that callers spread. */
export function orderEntries(entries: readonly Box[], dataCentre: string, callerKey: string): EntryAddress[] {
  const dataCentres = [...new Set(entries.map((entry) => entry.dataCentre))].sort(compareText);
  const otherDataCentres = rendezvousOrder(
    callerKey,
    dataCentres.filter((other) => other !== dataCentre),
    (other) => other,
  );
  return [dataCentre, ...otherDataCentres].flatMap((each) => {
    const inDataCentre = entries.filter((entry) => entry.dataCentre === each);
    const ordered = rendezvousOrder(callerKey, inDataCentre, (entry) => entry.box);
    return ordered.map((entry) => ({
      dataCentre: entry.dataCentre,
      url: `http://${entry.address}:${entry.httpPort}`,
    }));
  });
}
