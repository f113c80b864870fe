/** Tests the short wait of requests for a slot at the entry. */
import { test } from 'node:test';
import { expect } from 'earl';
import { OnTimeFirstPolicy } from '../src/admission/onTimeFirstPolicy.js';
import { WaitingRequests } from '../src/admission/waitingRequests.js';
import type { AdmittedRequest } from '../src/serving/admittedRequest.js';
import type { ForwardingContext } from '../src/serving/forwardingContext.js';
import type { NoAttemptReason } from '../src/serving/noAttemptReason.js';
import { SlotRequest } from '../src/serving/slotRequest.js';
import { ServingMetrics } from '../src/telemetry/servingMetrics.js';
import { ManualClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';

const OBJECTIVE = 400;

class Entry {
  readonly clock = new ManualClock();
  readonly waiting = new WaitingRequests();
  readonly events: string[] = [];
  private readonly _admission = new OnTimeFirstPolicy(new SeededRandom(1));

  /** Starts the wait of a request of `rank` whose first attempt was `elapsed` milliseconds ago. */
  wait(
    name: string,
    { rank = 0, elapsed = 0, pressure = 0.5, reason = 'all busy' as NoAttemptReason } = {},
  ): SlotRequest {
    const { clock, waiting, events } = this;
    const firstAttemptAt = clock.now() - elapsed;
    const profile = {
      service: 's',
      rank,
      ranks: 3,
      objectiveMilliseconds: OBJECTIVE,
      firstAttemptAt,
      lot: 0,
    };
    const context = { clock, admission: this._admission, pool: { waiting }, metrics: new ServingMetrics() };
    const request = { service: 's', profile } as unknown as AdmittedRequest;
    const slot = new SlotRequest(context as unknown as ForwardingContext, request);
    slot.limits({ pressure, entries: 3 });
    const giveUp = (): void => void events.push(`${name} given up`);
    slot.waitOrGiveUp(reason, () => void events.push(`${name} tries`), giveUp);
    return slot;
  }
}

test('should let the most urgent request look for a slot first, then the one with the least time left', () => {
  const entry = new Entry();
  const slots = [
    entry.wait('low', { rank: 1, elapsed: 200 }),
    entry.wait('new'),
    entry.wait('old', { elapsed: 100 }),
  ];
  entry.waiting.wake();
  expect(entry.events).toEqual(['old tries', 'new tries', 'low tries']);
  for (const slot of slots) slot.noteSent();
  expect(entry.waiting.count).toEqual(0);
});

test('should wait at most once, and only on time, for a slot, and without a lasting shortage', () => {
  const entry = new Entry();
  entry.wait('late', { elapsed: 301 });
  entry.wait('versions', { reason: 'old version' });
  new Entry().wait('unrelated').noteSent();
  const shortage = new Entry();
  shortage.wait('shortage', { pressure: 0.95 });
  expect([...entry.events, ...shortage.events]).toEqual([
    'late given up',
    'versions given up',
    'shortage given up',
  ]);
  expect(entry.waiting.count + shortage.waiting.count).toEqual(0);
});

test('should end the wait after an eighth of the objective, or when no answer in time is possible', (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] });
  const entry = new Entry();
  entry.wait('whole');
  entry.wait('short', { elapsed: 280 });
  context.mock.timers.tick(20);
  expect(entry.events).toEqual(['short given up']);
  context.mock.timers.tick(29);
  expect(entry.events.length).toEqual(1);
  context.mock.timers.tick(1);
  expect(entry.events).toEqual(['short given up', 'whole given up']);
});

test('should end the wait when the request ends, as when its caller has disconnected', (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] });
  const entry = new Entry();
  entry.wait('gone').ended('caller-gone', undefined);
  context.mock.timers.tick(OBJECTIVE);
  entry.waiting.wake();
  expect(entry.events).toEqual([]);
});

test('should have a waiting request look for a slot when an answer ends', () => {
  const entry = new Entry();
  const answered = entry.wait('answered');
  answered.noteSent();
  const waiting = entry.wait('waiting');
  answered.ended('answered', undefined);
  expect(entry.events).toEqual(['waiting tries']);
  waiting.noteSent();
});

test('should reject the last in order when too many wait', () => {
  const entry = new Entry();
  const slots = Array.from({ length: 16 }, () => entry.wait('low', { rank: 2 }));
  entry.wait('urgent').noteSent();
  slots.push(entry.wait('last', { rank: 2 }));
  expect(entry.events).toEqual(['low given up']);
  for (const slot of slots) slot.noteSent();
  expect(entry.waiting.count).toEqual(0);
});

test('should reject waiting requests with a short Retry-After when the entry stops', () => {
  const entry = new Entry();
  const slot = entry.wait('waiting');
  entry.waiting.close();
  entry.wait('new');
  expect(entry.events).toEqual(['waiting given up', 'new given up']);
  expect(slot.retryDelay('all busy', { leftMilliseconds: 6_000, waitMilliseconds: 0 })).toEqual(10);
});
