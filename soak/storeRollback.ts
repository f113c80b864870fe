/** Rolls the store of a soak back to a snapshot. The operator and the servers then write their records again. */
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import type { SoakFleet } from './soakFleet.js';

/** Maximum time from the snapshot to the outage. The rollback loses the writes within it. */
const MAX_LOST_MILLISECONDS = 1_500;
const MIN_OUTAGE_MILLISECONDS = 200;
const OUTAGE_SPREAD_MILLISECONDS = 1_000;
const MAX_REWRITE_DELAY_MILLISECONDS = 1_000;
/** Records of ended servers are removed after three missed heartbeats. */
const STALE_SERVER_MILLISECONDS = 3_600;
/** Maximum number of rollbacks in a row. */
const MAX_ROLLBACKS = 2;
/**
 * Maximum number of writes by others that a rollback loses. After many, the store's revisions stay below the former
 * ones for a long time.
 */
const MAX_OTHER_WRITES = 200;

/** Takes the store down for a moment and restores it without the latest writes, once or more. */
export async function rollBackStore(fleet: SoakFleet, random: Random): Promise<void> {
  const rollbacks = 1 + random.integer(MAX_ROLLBACKS);
  for (let count = 0; count < rollbacks; count++) {
    const snapshot = fleet.store.snapshot();
    fleet.configure();
    const others = random.integer(MAX_OTHER_WRITES);
    for (let write = 0; write < others; write++) fleet.store.put('other', 'object', write);
    await pause(random.integer(MAX_LOST_MILLISECONDS));
    fleet.store.faults = random.integer(2) === 0 ? { status: 503 } : { silent: true };
    fleet.store.cutConnections();
    await pause(MIN_OUTAGE_MILLISECONDS + random.integer(OUTAGE_SPREAD_MILLISECONDS));
    fleet.store.rollBackTo(snapshot);
    fleet.store.faults = {};
    await pause(random.integer(MAX_REWRITE_DELAY_MILLISECONDS));
    fleet.rewriteRecords();
  }
}

/** Waits until the records of ended servers expire, and removes them. */
export async function removeStaleServers(fleet: SoakFleet): Promise<void> {
  await pause(STALE_SERVER_MILLISECONDS);
  fleet.removeStaleServers();
}
