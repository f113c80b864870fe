/** Orders the entries whose addresses are returned to callers. Pure functions. */
import type { Box } from '../external/boxList.js';
import { compareText, rendezvousOrder } from '../utils/rendezvous.js';

/** Address of an entry as returned to callers. */
export interface EntryEndpoint {
  dataCentre: string;
  url: string;
}

/**
 * Orders entries with the caller's data centre first. Within a data centre the order depends on `callerKey`, so that
 * callers spread over the entries.
 */
export function orderEntries(
  entries: readonly Box[],
  dataCentre: string,
  callerKey: string,
): EntryEndpoint[] {
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
