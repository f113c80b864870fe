/** The soak's checks of what servers ask for see each breach, and nothing else. */
import { test } from 'node:test';
import { expect } from 'earl';
import { SignalChecks } from '../soak/signalChecks.js';
import type { SignalContext } from '../soak/signalChecks.js';
import type { SentSignals } from '../standins/platformRunnerSignals.js';

const RUNNER = 'i-1';
const NAMED_AT = 1_000;

function spoken(changes: Partial<SentSignals>): SentSignals {
  const silent = { limitPerSecond: undefined, leaving: false, retryAfterMilliseconds: 0 };
  return { id: 'first', runner: RUNNER, at: NAMED_AT, ...silent, ...changes };
}

/** Each request was sent by its caller as it arrived, to the entry that begins its id. */
function context(changes: Partial<SignalContext> = {}): SignalContext {
  return {
    callOf: (id) => ({ entry: id.split(' ')[0], sentAt: Number(id.split(' ')[1]) }),
    isHarmed: () => false,
    isHeldUp: () => false,
    drainMilliseconds: 2_000,
    ...changes,
  };
}

/** Promises that are broken when requests arrive at these times by these entries. */
function broken(
  said: SentSignals,
  arrivals: readonly (readonly [string, number])[],
  changes: Partial<SignalContext> = {},
): string[] {
  const checks = new SignalChecks();
  checks.onSpoken(said);
  for (const [entry, at] of arrivals) checks.onArrival({ id: `${entry} ${at}`, runner: RUNNER, at });
  const promises: string[] = [];
  checks.check(context(changes), (promise) => void promises.push(promise));
  return promises;
}

function evenly(count: number, from: number, gap: number): (readonly [string, number])[] {
  return Array.from(
    { length: count },
    (_unused, index) => [`entry-${index % 3}`, from + index * gap] as const,
  );
}

test('should see that entries together send more than a limit allows', () => {
  const said = spoken({ limitPerSecond: 1 });
  expect(broken(said, evenly(12, NAMED_AT + 3_000, 300))).toEqual(['limit']);
  expect(broken(said, evenly(11, NAMED_AT + 3_000, 300))).toEqual([]);
});

test('should pass over what came before entries could know a limit, or lay on its way', () => {
  const said = spoken({ limitPerSecond: 1 });
  expect(broken(said, evenly(12, NAMED_AT, 200))).toEqual([]);
  expect(broken(said, evenly(12, NAMED_AT + 3_000, 300), { isHeldUp: () => true })).toEqual([]);
});

test('should see a request that its caller sent long after an answer said that its server leaves', () => {
  const said = spoken({ leaving: true });
  expect(broken(said, [['entry-0', NAMED_AT + 2_600]])).toEqual(['draining']);
  expect(broken(said, [['entry-0', NAMED_AT + 2_400]])).toEqual([]);
  expect(broken(said, [['entry-0', NAMED_AT + 2_600]], { isHarmed: () => true })).toEqual([]);
});

test('should see three requests of an entry within the Retry-After that it was given', () => {
  const said = spoken({ id: 'entry-0 1000', retryAfterMilliseconds: 3_000 });
  const within = [1_600, 2_000, 3_900].map((at) => ['entry-0', at] as const);
  expect(broken(said, within)).toEqual(['retry-after']);
  expect(broken(said, within.slice(1))).toEqual([]);
  expect(broken(said, [...within.slice(1), ['entry-1', 3_000]])).toEqual([]);
  expect(broken(said, [['entry-0', 1_400], ...within.slice(1), ['entry-0', 4_100]])).toEqual([]);
});
