/** Fair shares among customers, immediate refusals and deadlines. */
import { test } from 'node:test';
import { expect } from 'earl';
import { ProcessDrain } from '../src/draining/processDrain.js';
import type { Priority } from '../src/protocol/headers.js';
import type { Admission } from '../src/requests/fairQueue.js';
import { FairQueue } from '../src/requests/fairQueue.js';
import { ManualClock } from '../src/utils/clock.js';

interface RequestOptions {
  customer: string;
  weight?: number;
  priority?: Priority;
  deadlineMilliseconds?: number;
}

interface QueueFixture {
  queue: FairQueue;
  clock: ManualClock;
  drain: ProcessDrain;
}

function queueWith(slots: number, waitingPerCustomer = 1_000): QueueFixture {
  const clock = new ManualClock();
  const drain = new ProcessDrain(clock);
  return { queue: new FairQueue({ slots, waitingPerCustomer, clock, drain }), clock, drain };
}

function admit(queue: FairQueue, request: RequestOptions): Admission {
  const { customer, weight = 1, priority = 'normal', deadlineMilliseconds } = request;
  return queue.admit({ customer, weight, priority, deadlineMilliseconds })._unsafeUnwrap();
}

/** Admits requests, serves them one after the other and returns their names in the order served. */
async function servedOrder(
  queue: FairQueue,
  requests: (RequestOptions & { name: string })[],
): Promise<string[]> {
  const blocker = admit(queue, { customer: 'blocker' });
  const order: string[] = [];
  for (const request of requests) {
    const admission = admit(queue, request);
    void admission.ready.then((runs) => {
      if (runs) order.push(request.name);
      admission.release();
    });
  }
  blocker.release();
  for (let turn = 0; turn < requests.length * 4; turn++) await Promise.resolve();
  return order;
}

test('should alternate between a customer with a burst and one with few requests', async () => {
  const { queue } = queueWith(1);
  const burst = Array.from({ length: 10 }, (_none, index) => ({ customer: 'large', name: `large-${index}` }));
  const small = [0, 1, 2].map((index) => ({ customer: 'small', name: `small-${index}` }));
  const order = await servedOrder(queue, [...burst, ...small]);
  const last = order.indexOf('small-2');
  expect(last <= 6).toEqual(true);
  expect(order.length).toEqual(13);
});

test('should give customers of equal weight equal shares within five percent', async () => {
  const { queue } = queueWith(1);
  const asks = ['a', 'b', 'c', 'd'].flatMap((customer) =>
    Array.from({ length: 50 }, () => ({ customer, name: customer })),
  );
  const first = (await servedOrder(queue, asks)).slice(0, 100);
  for (const customer of ['a', 'b', 'c', 'd']) {
    const share = first.filter((name) => name === customer).length;
    expect(Math.abs(share - 25) <= 1).toEqual(true);
  }
});

test('should give a customer with twice the weight twice the share', async () => {
  const { queue } = queueWith(1);
  const asks = [
    ...Array.from({ length: 60 }, () => ({ customer: 'heavy', weight: 2, name: 'heavy' })),
    ...Array.from({ length: 60 }, () => ({ customer: 'light', weight: 1, name: 'light' })),
  ];
  const first = (await servedOrder(queue, asks)).slice(0, 60);
  const heavy = first.filter((name) => name === 'heavy').length;
  expect(heavy >= 38 && heavy <= 42).toEqual(true);
});

test('should order by priority only within a customer', async () => {
  const { queue } = queueWith(1);
  const order = await servedOrder(queue, [
    { customer: 'a', priority: 'low', name: 'a-low' },
    { customer: 'a', priority: 'high', name: 'a-high' },
    { customer: 'b', priority: 'low', name: 'b-low' },
  ]);
  expect(order.indexOf('a-high') < order.indexOf('a-low')).toEqual(true);
  expect(order.indexOf('b-low') < 2).toEqual(true);
});

test('should refuse when the queue of the customer is full, and say when to retry', () => {
  const { queue } = queueWith(1, 2);
  for (let index = 0; index < 3; index++) admit(queue, { customer: 'a' });
  const refused = queue.admit({
    customer: 'a',
    weight: 1,
    priority: 'normal',
    deadlineMilliseconds: undefined,
  });
  expect(refused._unsafeUnwrapErr().reason).toEqual('queue-full');
  expect(refused._unsafeUnwrapErr().retryAfterMilliseconds > 0).toEqual(true);
  expect(
    queue.admit({ customer: 'b', weight: 1, priority: 'normal', deadlineMilliseconds: undefined }).isOk(),
  ).toEqual(true);
});

test('should refuse a request that cannot end before its deadline', () => {
  const { queue } = queueWith(1);
  for (let index = 0; index < 20; index++) admit(queue, { customer: 'a' });
  const refused = queue.admit({ customer: 'a', weight: 1, priority: 'normal', deadlineMilliseconds: 100 });
  expect(refused._unsafeUnwrapErr().reason).toEqual('deadline-too-close');
});

test('should not run a request whose deadline passed in the queue', async () => {
  const { queue, clock } = queueWith(1);
  const running = admit(queue, { customer: 'a' });
  const waiting = admit(queue, { customer: 'b', deadlineMilliseconds: 200 });
  clock.advance(201);
  running.release();
  expect(await waiting.ready).toEqual(false);
  expect(queue.running).toEqual(0);
});

test('should free the place of a request that is released in the queue', async () => {
  const { queue } = queueWith(1);
  const running = admit(queue, { customer: 'a' });
  const waiting = admit(queue, { customer: 'a' });
  waiting.release();
  expect(await waiting.ready).toEqual(false);
  expect(queue.waiting).toEqual(0);
  running.release();
  running.release();
  expect(queue.running).toEqual(0);
});

/** Guards against a queued request that starts shortly before its agent exits, and is cut off. */
test('should not start a queued request that may outlast the stop of its process', async () => {
  const { queue, clock, drain } = queueWith(1);
  const running = admit(queue, { customer: 'a' });
  const endless = admit(queue, { customer: 'a' });
  const long = admit(queue, { customer: 'a', deadlineMilliseconds: 1_250 });
  const short = admit(queue, { customer: 'a', deadlineMilliseconds: 1_200 });
  drain.closeIn(1_200);
  clock.advance(300);
  running.release();
  expect(await Promise.all([endless.ready, long.ready, short.ready])).toEqual([false, false, true]);
});
