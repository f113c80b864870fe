/** The store of a soak is rolled back; operator and servers write again what they had said. */
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import type { SoakFleet } from './soakFleet.js';

/** The copy lacks what was written in up to this time. */
const MAX_LOST_MILLISECONDS = 1_500;
const MIN_OUTAGE_MILLISECONDS = 200;
const OUTAGE_SPREAD_MILLISECONDS = 1_000;
const MAX_REWRITE_DELAY_MILLISECONDS = 1_000;
/** The entries of servers that have ended go after three heartbeats. */
const STALE_SERVER_MILLISECONDS = 3_600;
/** Rollbacks in a row, at the most. */
const MAX_ROLLBACKS = 2;
/** Other writers write so much meanwhile, at the most: after many, revisions stay below those of before for long. */
const MAX_OTHER_WRITES = 200;

/** The store is away for a moment and comes back without what was written lately, once or more. */
export async function rollBackStore(fleet: SoakFleet, random: Random): Promise<void> {
  const rollbacks = 1 + random.integer(MAX_ROLLBACKS);
  for (let count = 0; count < rollbacks; count++) {
    const copy = fleet.store.copy();
    fleet.configure();
    const others = random.integer(MAX_OTHER_WRITES);
    for (let write = 0; write < others; write++) fleet.store.put('other', 'object', write);
    await pause(random.integer(MAX_LOST_MILLISECONDS));
    fleet.store.faults = random.integer(2) === 0 ? { status: 503 } : { silent: true };
    fleet.store.cutConnections();
    await pause(MIN_OUTAGE_MILLISECONDS + random.integer(OUTAGE_SPREAD_MILLISECONDS));
    fleet.store.rollBackTo(copy);
    fleet.store.faults = {};
    await pause(random.integer(MAX_REWRITE_DELAY_MILLISECONDS));
    fleet.rewriteRecords();
  }
}

/** Resolves when the entries of servers have gone that nobody renews. */
export async function removeStaleServers(fleet: SoakFleet): Promise<void> {
  await pause(STALE_SERVER_MILLISECONDS);
  fleet.removeStaleServers();
}
