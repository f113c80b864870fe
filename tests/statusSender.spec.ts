/** When an agent sends the status of its box to entries. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { BoxStatus } from '../src/protocol/boxMessages.js';
import type { StatusAudience } from '../src/staging/statusSender.js';
import { StatusSender } from '../src/staging/statusSender.js';
import { ManualClock } from '../src/utils/clock.js';

class Box {
  readonly clock = new ManualClock();
  readonly sent: BoxStatus[] = [];
  readonly audiences: StatusAudience[] = [];
  readonly status: BoxStatus = {
    type: 'box-status',
    state: 'serving',
    model: 'm',
    version: 1,
    running: 0,
    queued: 0,
    slowLink: false,
  };
  readonly sender: StatusSender;

  constructor(listeners: number) {
    this.sender = new StatusSender({
      clock: this.clock,
      build: () => ({ ...this.status }),
      send: (status, audience) => {
        this.sent.push({ ...status });
        this.audiences.push(audience);
      },
      listeners: () => listeners,
    });
    this.clock.advance(10_000);
    this.sender.onInterval();
  }
}

test('should send another state at once', () => {
  const box = new Box(40);
  box.status.state = 'switching';
  box.sender.onChange();
  expect(box.sent.at(-1)?.state).toEqual('switching');
});

test('should send a large change of the load at once and a small one later', () => {
  const box = new Box(1);
  box.clock.advance(50);
  box.status.running = 1;
  box.sender.onChange();
  expect(box.sent.length).toEqual(1);
  box.status.running = 2;
  box.sender.onChange();
  expect(box.sent.length).toEqual(2);
});

test('should send the load less often the more entries receive it', () => {
  const box = new Box(100);
  for (let load = 1; load <= 100; load++) {
    box.clock.advance(10);
    box.status.running = load * 5;
    box.sender.onChange();
  }
  expect(box.sent.length).toBeLessThanOrEqual(4);
});

test('should repeat an unchanged status at intervals', () => {
  const box = new Box(7);
  box.clock.advance(999);
  box.sender.onInterval();
  expect(box.sent.length).toEqual(1);
  box.clock.advance(1);
  box.sender.onInterval();
  expect(box.sent.length).toEqual(2);
});

test('should send the load more often to entries of its own data centre', () => {
  const box = new Box(25);
  for (let load = 1; load <= 100; load++) {
    box.clock.advance(10);
    box.status.running = load * 5;
    box.sender.onChange();
  }
  const toAll = box.audiences.filter((audience) => audience === 'all').length;
  expect(box.sent.length).toBeGreaterThan(8);
  expect(toAll).toBeLessThanOrEqual(5);
});
