/** Breaks a fleet in the middle of a rollout. */
import { pause } from '../src/utils/timers.js';
import type { LocalFleet } from '../standins/localFleet.js';

const CORRUPT_SHARE = 0.01;
const FROZEN_MILLISECONDS = 5_000;
const BOX_LIST_LAG_MILLISECONDS = 1_000;

/**
 * One agent in ten killed, one frozen for five seconds, one draw in a hundred corrupt, and the coordinator's entry
 * killed. Returns the killed boxes.
 */
export async function breakFleet(fleet: LocalFleet, afterMilliseconds: number): Promise<string[]> {
  await fleet.setFaults(fleet.originUrl, { corruptShare: CORRUPT_SHARE });
  await pause(afterMilliseconds);
  const boxes = fleet.modelBoxes();
  const killed = boxes.filter((_box, index) => index % 10 === 3);
  await Promise.all(killed.map((box) => fleet.box(box).child.end('SIGKILL')));
  const frozen = fleet.box(boxes[boxes.length - 1]).child;
  frozen.signal('SIGSTOP');
  const coordinator = await coordinatorOf(fleet, 'studio', 'advisor');
  await fleet.box(coordinator).child.end('SIGKILL');
  await pause(BOX_LIST_LAG_MILLISECONDS);
  await Promise.all([...killed, coordinator].map((box) => fleet.removeFromBoxList(box)));
  await pause(FROZEN_MILLISECONDS - BOX_LIST_LAG_MILLISECONDS);
  frozen.signal('SIGCONT');
  return killed;
}

/** The entry that holds the lease of a configuration. */
export async function coordinatorOf(
  fleet: LocalFleet,
  customer: string,
  configuration: string,
): Promise<string> {
  const url = `${fleet.objectApiUrl}/objects/lease/${customer}/${configuration}`;
  const lease = await fleet.read<{ value: { holder: string } }>(url);
  return lease.value.holder.split('/')[0];
}
