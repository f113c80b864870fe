/** Waits that another event can end. */
import { test } from 'node:test';
import { WakeableTimer } from '../src/utils/wakeableTimer.js';

/** Guards against an agent that learns of a version or a stop only when its next poll is due. */
test('should end a wait early when woken, also a second time, and otherwise in time', async () => {
  const timer = new WakeableTimer();
  timer.wake();
  for (let round = 0; round < 2; round++) {
    const waiting = timer.wait(60_000);
    timer.wake();
    await waiting;
  }
  await timer.wait(1);
});
