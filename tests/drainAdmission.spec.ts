/** Which requests a process that is shutting down may still start. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { ClosingTime } from '../src/draining/closingTime.js';
import type { DrainDecision, DrainedRequest } from '../src/draining/drainAdmission.js';
import { DrainAdmission } from '../src/draining/drainAdmission.js';
import { ProcessDrain } from '../src/draining/processDrain.js';
import { ManualClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';

const REQUEST: DrainedRequest = {
  service: 'chat',
  deadlineMilliseconds: 6_000,
  shortestMilliseconds: 2_000,
  repeatable: true,
};
const ONCE = { ...REQUEST, repeatable: false };

class LeavingProcess {
  readonly clock = new ManualClock();
  readonly closing = new ClosingTime(this.clock);
  isOnly = false;
  readonly admission = new DrainAdmission(this.closing, () => this.isOnly);

  decide(changes: Partial<DrainedRequest> = {}): DrainDecision {
    return this.admission.decide({ ...REQUEST, ...changes }).decision;
  }
}

test('should admit everything until the shutdown begins', () => {
  const leaving = new LeavingProcess();
  expect(leaving.decide({ ...ONCE, deadlineMilliseconds: Number.POSITIVE_INFINITY })).toEqual('admit');
});

test('should admit what its deadline ends before the close', () => {
  const leaving = new LeavingProcess();
  leaving.closing.closeIn(5_000);
  expect(leaving.decide({ ...ONCE, deadlineMilliseconds: 5_000 })).toEqual('admit');
  expect(leaving.decide({ ...ONCE, deadlineMilliseconds: 5_001 })).toEqual('reject');
});

test('should hold only what may run again, and whose whole length may come in time', () => {
  const leaving = new LeavingProcess();
  leaving.closing.closeIn(2_000);
  expect(leaving.decide()).toEqual('hold');
  expect(leaving.decide({ repeatable: false })).toEqual('reject');
  expect(leaving.decide({ shortestMilliseconds: 2_001 })).toEqual('reject');
  expect(leaving.decide({ shortestMilliseconds: undefined })).toEqual('reject');
});

/** Guards against holding back what another process would answer sooner. */
test('should hold one request of a service at a time, unless there is no other process', () => {
  const leaving = new LeavingProcess();
  leaving.closing.closeIn(4_000);
  const end = leaving.admission.beginHolding('chat');
  expect(leaving.decide()).toEqual('reject');
  expect(leaving.decide({ service: 'other' })).toEqual('hold');
  leaving.isOnly = true;
  expect(leaving.decide()).toEqual('hold');
  expect(leaving.decide({ shortestMilliseconds: undefined })).toEqual('hold');
  leaving.isOnly = false;
  end();
  end();
  expect(leaving.decide()).toEqual('hold');
});

test('should start in a process that forwards answers as they come only what its deadline ends', () => {
  const clock = new ManualClock();
  const drain = new ProcessDrain(clock);
  expect(drain.mayStart()).toEqual(true);
  drain.closeIn(1_000);
  expect([drain.mayStart(), drain.mayStart(1_001), drain.mayStart(1_000)]).toEqual([false, false, true]);
});

/** A shutdown under requests whose servers take as long as they like. */
interface Load {
  seed: number;
  drainMilliseconds: number;
  deadlineMilliseconds: number;
  longestMilliseconds: number;
}

/** Returns whether a request that was admitted may still be running at the close. */
function isCut({ seed, drainMilliseconds, deadlineMilliseconds, longestMilliseconds }: Load): boolean {
  const random = new SeededRandom(seed);
  const leaving = new LeavingProcess();
  leaving.closing.closeIn(drainMilliseconds);
  let cut = false;
  while (leaving.closing.leftMilliseconds > 0) {
    const deadline = random.integer(deadlineMilliseconds);
    const duration = random.integer(longestMilliseconds);
    const isAdmitted = leaving.decide({ deadlineMilliseconds: deadline }) === 'admit';
    if (isAdmitted && Math.min(duration, deadline) > leaving.closing.leftMilliseconds) cut = true;
    leaving.clock.advance(50 + random.integer(200));
  }
  return cut;
}

/** Guards against a rule that holds for one moment, deadline or pace. */
test('should admit nothing that can outlast the close, however long it takes', () => {
  const loads = fc.record({
    seed: fc.integer({ min: 0, max: 1_000_000 }),
    drainMilliseconds: fc.integer({ min: 500, max: 30_000 }),
    deadlineMilliseconds: fc.integer({ min: 200, max: 20_000 }),
    longestMilliseconds: fc.integer({ min: 10, max: 60_000 }),
  });
  fc.assert(
    fc.property(loads, (load) => !isCut(load)),
    { seed: 72, numRuns: 300 },
  );
});
