/** Tests the decisions of admission control: timeliness, rank and reserved slots. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { Arrival } from '../src/admission/admissionPolicy.js';
import { ArrivalOrderPolicy } from '../src/admission/arrivalOrderPolicy.js';
import { sentShare } from '../src/admission/contention.js';
import { OnTimeFirstPolicy } from '../src/admission/onTimeFirstPolicy.js';
import { RankShares } from '../src/admission/rankShares.js';
import { RequestRanks } from '../src/admission/requestRanks.js';
import { reservedShare } from '../src/admission/reservedSlots.js';
import { callerDelay, spreadDelay } from '../src/admission/retryDelay.js';
import { UsualDeadline } from '../src/admission/usualDeadline.js';
import { SeededRandom } from '../src/utils/random.js';

function usualOf(deadlines: readonly number[]): number | undefined {
  const usual = new UsualDeadline();
  for (const deadline of deadlines) usual.note(deadline);
  return usual.milliseconds;
}

/** Deadlines of first attempts, which differ by some tens of milliseconds. */
function firstDeadlines(count: number): number[] {
  return Array.from({ length: count }, (_deadline, index) => 5_960 + ((index * 17) % 40));
}

test('should learn the usual deadline although half of the requests are retries', () => {
  const random = new SeededRandom(1);
  const retries = firstDeadlines(24).map((deadline) => deadline - 1_000 - random.integer(1_000));
  const usual = usualOf([...firstDeadlines(24), ...retries])!;
  expect(usual >= 5_960 && usual < 6_000).toEqual(true);
});

test('should not change the usual deadline for a few absurd values', () => {
  const usual = usualOf([...firstDeadlines(20), 3_600_000, 3_600_000, 1, 9])!;
  expect(usual >= 5_960 && usual < 6_000).toEqual(true);
  expect(usualOf([6_000, 6_000, 6_000, 6_000, 3_600_000])).toEqual(6_000);
});

test('should follow callers that change their deadline', () => {
  expect(
    usualOf([...firstDeadlines(48), ...firstDeadlines(40).map((deadline) => deadline / 2)])! < 3_000,
  ).toEqual(true);
});

test('should know no usual deadline from few requests, or where callers choose their deadlines freely', () => {
  expect(usualOf(firstDeadlines(4))).toEqual(undefined);
  expect(usualOf(Array.from({ length: 48 }, (_deadline, index) => 500 + index * 200))).toEqual(undefined);
});

const ARRIVAL: Arrival = {
  service: 's',
  route: 'r',
  objectiveMilliseconds: 400,
  rank: 0,
  ranks: 1,
  deadlineMilliseconds: 6_000,
  arrivedAt: 10_000,
};

function policyWithHistory(): OnTimeFirstPolicy {
  const policy = new OnTimeFirstPolicy(new SeededRandom(1));
  for (const deadlineMilliseconds of firstDeadlines(20)) policy.admit({ ...ARRIVAL, deadlineMilliseconds });
  return policy;
}

test('should take a request for late once it can no longer meet its objective', () => {
  const policy = policyWithHistory();
  const timeliness = (deadlineMilliseconds: number, now: number): string =>
    policy.precedence(policy.admit({ ...ARRIVAL, deadlineMilliseconds }), now).timeliness;
  expect(timeliness(5_960, 10_000)).toEqual('on-time');
  expect(timeliness(5_800, 10_050)).toEqual('on-time');
  expect(timeliness(5_960, 10_310)).toEqual('late');
  expect(timeliness(4_500, 10_000)).toEqual('late');
});

test('should take requests for on time while the usual deadline of their route is not known', () => {
  const policy = policyWithHistory();
  const unknown = [{ route: 'new', deadlineMilliseconds: 10 }, { deadlineMilliseconds: undefined }].map(
    (changes) => policy.precedence(policy.admit({ ...ARRIVAL, ...changes }), 10_000).timeliness,
  );
  expect(unknown).toEqual(['on-time', 'on-time']);
});

function route(
  name: string,
  priority: number,
  anonymous = false,
): ConstructorParameters<typeof RequestRanks>[0][0] {
  return { name, priority, anonymous, targets: [{ service: 's' }] };
}

test('should rank by the priority of the route among customers of equal priority', () => {
  const routes = [route('a', 2), route('b', 0), route('c', 1), route('d', 0)];
  const ranks = new RequestRanks(routes, [{ priority: 1 }, { priority: 1 }]);
  expect(routes.map((each) => ranks.rank('s', each, 1).rank)).toEqual([2, 0, 1, 0]);
  expect(ranks.rank('s', routes[0], 1).ranks).toEqual(3);
});

test('should rank by the priority of the customer first, and by that of the route without one', () => {
  const routes = [route('a', 4), route('b', 6, true)];
  const ranks = new RequestRanks(routes, [{ priority: 5 }, { priority: undefined }]);
  const found = [5, undefined].map((priority) => routes.map((each) => ranks.rank('s', each, priority).rank));
  expect(found).toEqual([
    [1, 2],
    [0, 3],
  ]);
});

test('should have one rank where all priorities are equal', () => {
  const routes = [route('a', 1), route('b', 1)];
  expect(new RequestRanks(routes, [{ priority: 1 }]).rank('s', routes[1], 1)).toEqual({ rank: 0, ranks: 1 });
  expect(new RequestRanks(routes, [{ priority: 1 }]).rank('other', routes[1], 1)).toEqual({
    rank: 0,
    ranks: 1,
  });
});

test('should reserve slots only under shortage, smoothly, and most from late requests', () => {
  const late = { timeliness: 'late', rank: 0 } as const;
  const second = { timeliness: 'on-time', rank: 1 } as const;
  const first = { timeliness: 'on-time', rank: 0 } as const;
  expect([0, 0.7, 0.75].map((pressure) => reservedShare(late, 2, pressure))).toEqual([0, 0, 0]);
  const shares = [0.76, 0.8, 0.85, 0.9, 0.95, 1].map((pressure) => reservedShare(late, 2, pressure));
  expect([...shares].sort((a, b) => a - b)).toEqual(shares);
  expect(shares[1] - shares[0] < 0.05).toEqual(true);
  expect(reservedShare(late, 2, 1) > reservedShare(second, 2, 1)).toEqual(true);
  expect(reservedShare(second, 2, 1) > 0 && reservedShare(first, 2, 1) === 0).toEqual(true);
});

test('should send no late request when on-time requests begin to be held back', () => {
  const at = (pressure: number): number[] =>
    (['on-time', 'late'] as const).map((timeliness) =>
      sentShare({ timeliness, rank: 0 }, 1, { pressure, entries: 44 }),
    );
  expect(at(0.7)).toEqual([1, 1]);
  expect(at(0.87)).toEqual([1, 0]);
  expect(at(1)[0] < 0.5).toEqual(true);
});

test('should not hold back on-time requests at the only entry, which knows all requests', () => {
  expect(sentShare({ timeliness: 'on-time', rank: 0 }, 1, { pressure: 0.99, entries: 1 })).toEqual(1);
});

test('should find a rank deprived that gets slots much more rarely than the more urgent ones', () => {
  const shares = new RankShares();
  for (let request = 0; request < 20; request++) {
    shares.note('s', 0, 'sent', 1_000);
    shares.note('s', 1, request % 4 === 0 ? 'sent' : 'rejected', 1_000);
  }
  expect([0, 1].map((rank) => shares.isDeprived('s', rank, 1_000))).toEqual([false, true]);
  expect(shares.isDeprived('s', 1, 60_000)).toEqual(false);
});

test('should change nothing in arrival order', () => {
  const policy = new ArrivalOrderPolicy(new SeededRandom(1));
  expect(policy.admit({ ...ARRIVAL, rank: 2, ranks: 3 }).ranks).toEqual(1);
  expect(policy.slotLimits()).toEqual({ reservedShare: 0, spread: false });
});

test('should advise callers to retry within their timeout, at different times', () => {
  const time = { leftMilliseconds: 6_000, waitMilliseconds: 0 };
  expect([0, 0.999].map((fraction) => spreadDelay(time, 0.5, fraction))).toEqual([960, 1_919]);
  expect(spreadDelay({ ...time, leftMilliseconds: -5 }, 0.5, 0.5)).toEqual(0);
  expect(spreadDelay({ ...time, waitMilliseconds: 1_500 }, 0.5, 0)).toEqual(1_500);
  expect(spreadDelay({ ...time, waitMilliseconds: 9_000 }, 0.5, 0)).toEqual(1_920);
});

test('should let callers retry immediately only on time, during a momentary shortage, and when few are rejected', () => {
  const time = { leftMilliseconds: 6_000, waitMilliseconds: 0 };
  const momentary = { timeliness: 'on-time', pressure: 0.6, rejectedShare: 0.1 } as const;
  const lasting = [{ timeliness: 'late' } as const, { pressure: 0.8 }, { rejectedShare: 0.5 }];
  expect(callerDelay(time, momentary, 0.5)).toEqual(25);
  for (const change of lasting) expect(callerDelay(time, { ...momentary, ...change }, 0) > 500).toEqual(true);
});

test('should spread the retries of a crowd over more time', () => {
  const time = { leftMilliseconds: 6_000, waitMilliseconds: 0 };
  const earliest = [0.2, 1].map((rejectedShare) =>
    callerDelay(time, { timeliness: 'late', pressure: 1, rejectedShare }, 0),
  );
  expect(earliest).toEqual([806, 192]);
});
