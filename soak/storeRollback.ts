/** The store of a soak is rolled back; operator and servers write again what they had said. */
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import type { SoakFleet } from './soakFleet.js';

/** The copy lacks what was written in up to this time. */
const LOST_MILLISECONDS = 1_500;
const LEAST_AWAY_MILLISECONDS = 200;
const AWAY_MILLISECONDS = 1_000;
const WRITE_AGAIN_MILLISECONDS = 1_000;
/** The entries of servers that have ended go after three heartbeats. */
const LAPSE_MILLISECONDS = 3_600;
/** Rollbacks in a row, at the most. */
const MOST_ROLLBACKS = 2;
/** Other writers write so much meanwhile, at the most: after many, revisions stay below those of before for long. */
const MOST_OTHER_WRITES = 200;

/** The store is away for a moment and comes back without what was written lately, once or more. */
export async function rollBackStore(fleet: SoakFleet, random: Random): Promise<void> {
  const rollbacks = 1 + random.integer(MOST_ROLLBACKS);
  for (let count = 0; count < rollbacks; count++) {
    const copy = fleet.store.copy();
    fleet.configure();
    const others = random.integer(MOST_OTHER_WRITES);
    for (let write = 0; write < others; write++) fleet.store.put('other', 'object', write);
    await pause(random.integer(LOST_MILLISECONDS));
    fleet.store.faults = random.integer(2) === 0 ? { status: 503 } : { silent: true };
    fleet.store.cutConnections();
    await pause(LEAST_AWAY_MILLISECONDS + random.integer(AWAY_MILLISECONDS));
    fleet.store.rollBackTo(copy);
    fleet.store.faults = {};
    await pause(random.integer(WRITE_AGAIN_MILLISECONDS));
    fleet.writeAgain();
  }
}

/** Resolves when the entries of servers have gone that nobody renews. */
export async function lapseEntries(fleet: SoakFleet): Promise<void> {
  await pause(LAPSE_MILLISECONDS);
  fleet.lapseEntries();
}
