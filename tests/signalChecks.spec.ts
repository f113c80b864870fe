/** The soak's signal checks report each breach of a limit, a drain notice or a Retry-After, and nothing else. */
import { test } from 'node:test';
import { expect } from 'earl';
import { SignalChecks } from '../soak/signalChecks.js';
import type { SignalContext } from '../soak/signalChecks.js';
import type { SentSignals } from '../standins/platformRunnerSignals.js';

const RUNNER = 'i-1';
/** When the server sent its signals. */
const SENT_AT = 1_000;

function signals(changes: Partial<SentSignals>): SentSignals {
  const none = { limitPerSecond: undefined, leaving: false, retryAfterMilliseconds: 0, coldMilliseconds: 0 };
  return { id: 'first', runner: RUNNER, at: SENT_AT, ...none, ...changes };
}

/**
 * Returns a context in which the id of a request is `entry time`: the entry that it was sent to, and the time, at
 * which it also reached the server.
 */
function context(changes: Partial<SignalContext> = {}): SignalContext {
  return {
    findCall: (id) => ({ entry: id.split(' ')[0], sentAt: Number(id.split(' ')[1]) }),
    overlapsFault: () => false,
    mayBeDelayed: () => false,
    drainMilliseconds: 2_000,
    ...changes,
  };
}

/** Returns the promises that are broken when requests arrive from these entries at these times. */
function brokenPromises(
  sent: SentSignals,
  arrivals: readonly (readonly [string, number])[],
  changes: Partial<SignalContext> = {},
): string[] {
  const checks = new SignalChecks();
  checks.onSignals(sent);
  for (const [entry, at] of arrivals) checks.onArrival({ id: `${entry} ${at}`, runner: RUNNER, at });
  const promises: string[] = [];
  checks.check(context(changes), (promise) => void promises.push(promise));
  return promises;
}

/** Arrivals at a fixed interval, from three entries in turn. */
function evenArrivals(count: number, from: number, gap: number): (readonly [string, number])[] {
  return Array.from(
    { length: count },
    (_unused, index) => [`entry-${index % 3}`, from + index * gap] as const,
  );
}

test('should report that entries together exceed a limit', () => {
  const sent = signals({ limitPerSecond: 1 });
  expect(brokenPromises(sent, evenArrivals(12, SENT_AT + 3_000, 300))).toEqual(['limit']);
  expect(brokenPromises(sent, evenArrivals(11, SENT_AT + 3_000, 300))).toEqual([]);
});

test('should ignore requests that arrive before entries must know the limit, or that were delayed', () => {
  const sent = signals({ limitPerSecond: 1 });
  expect(brokenPromises(sent, evenArrivals(12, SENT_AT, 200))).toEqual([]);
  expect(brokenPromises(sent, evenArrivals(12, SENT_AT + 3_000, 300), { mayBeDelayed: () => true })).toEqual(
    [],
  );
});

test('should report a request that was sent long after its server announced its drain', () => {
  const sent = signals({ leaving: true });
  expect(brokenPromises(sent, [['entry-0', SENT_AT + 2_600]])).toEqual(['draining']);
  expect(brokenPromises(sent, [['entry-0', SENT_AT + 2_400]])).toEqual([]);
  expect(brokenPromises(sent, [['entry-0', SENT_AT + 2_600]], { overlapsFault: () => true })).toEqual([]);
});

test('should report three requests of an entry during its Retry-After', () => {
  const sent = signals({ id: 'entry-0 1000', retryAfterMilliseconds: 3_000 });
  const within = [1_600, 2_000, 3_900].map((at) => ['entry-0', at] as const);
  expect(brokenPromises(sent, within)).toEqual(['retry-after']);
  expect(brokenPromises(sent, within.slice(1))).toEqual([]);
  expect(brokenPromises(sent, [...within.slice(1), ['entry-1', 3_000]])).toEqual([]);
  expect(brokenPromises(sent, [['entry-0', 1_400], ...within.slice(1), ['entry-0', 4_100]])).toEqual([]);
});

test('should report that entries together exceed the rate of a cold server', () => {
  const broken = [12, 11].map((count) => {
    const checks = new SignalChecks();
    const from = Date.now();
    checks.onCold(RUNNER, 6_000);
    for (const [entry, at] of evenArrivals(count, from + 3_000, 80))
      checks.onArrival({ id: `${entry} ${at}`, runner: RUNNER, at });
    const promises: string[] = [];
    checks.check(context(), (promise) => void promises.push(promise));
    return promises;
  });
  expect(broken).toEqual([['cold'], []]);
});
