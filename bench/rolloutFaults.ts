/** Injects faults into a fleet during a rollout. */
import { pause } from '../src/utils/timers.js';
import type { LocalFleet } from '../standins/localFleet.js';

const CORRUPT_SHARE = 0.01;
const FROZEN_MILLISECONDS = 5_000;
/** Time after which the box list drops killed boxes. */
const BOX_LIST_LAG_MILLISECONDS = 1_000;

/**
 * Kills one agent in ten and the coordinator's entry, pauses the agent of the last box for five seconds, and
 * corrupts one chunk read in a hundred. Returns the boxes of the killed agents.
 */
export async function injectFaults(fleet: LocalFleet, afterMilliseconds: number): Promise<string[]> {
  await fleet.setFaults(fleet.originUrl, { corruptShare: CORRUPT_SHARE });
  await pause(afterMilliseconds);
  const boxes = fleet.modelBoxes();
  const killed = boxes.filter((_box, index) => index % 10 === 3);
  await Promise.all(killed.map((box) => fleet.box(box).child.end('SIGKILL')));
  const frozen = fleet.box(boxes[boxes.length - 1]).child;
  frozen.signal('SIGSTOP');
  const coordinator = await findCoordinator(fleet, 'studio', 'advisor');
  await fleet.box(coordinator).child.end('SIGKILL');
  await pause(BOX_LIST_LAG_MILLISECONDS);
  await Promise.all([...killed, coordinator].map((box) => fleet.removeFromBoxList(box)));
  await pause(FROZEN_MILLISECONDS - BOX_LIST_LAG_MILLISECONDS);
  frozen.signal('SIGCONT');
  return killed;
}

/** Returns the box of the entry that holds the lease of a configuration. */
export async function findCoordinator(
  fleet: LocalFleet,
  customer: string,
  configuration: string,
): Promise<string> {
  const url = `${fleet.objectApiUrl}/objects/lease/${customer}/${configuration}`;
  const lease = await fleet.read<{ value: { holder: string } }>(url);
  return lease.value.holder.split('/')[0];
}
