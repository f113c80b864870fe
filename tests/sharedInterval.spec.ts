/** SharedInterval: one timer for several callbacks. */
import { mock, test } from 'node:test';
import { expect } from 'earl';
import { SharedInterval } from '../src/utils/sharedInterval.js';

test('should call every callback until it is removed', () => {
  mock.timers.enable({ apis: ['setInterval'] });
  const interval = new SharedInterval(50);
  const calls: string[] = [];
  const removeFirst = interval.add(() => void calls.push('first'));
  const removeSecond = interval.add(() => void calls.push('second'));
  mock.timers.tick(50);
  removeFirst();
  mock.timers.tick(50);
  removeSecond();
  mock.timers.tick(200);
  expect(calls).toEqual(['first', 'second', 'second']);
  const removeThird = interval.add(() => void calls.push('third'));
  mock.timers.tick(50);
  removeThird();
  expect(calls.at(-1)).toEqual('third');
  mock.timers.reset();
});

test('should allow a callback to remove itself and others', () => {
  mock.timers.enable({ apis: ['setInterval'] });
  const interval = new SharedInterval(50);
  const calls: string[] = [];
  let removeOther = (): void => undefined;
  const removeFirst = interval.add(() => {
    calls.push('first');
    removeFirst();
    removeOther();
  });
  removeOther = interval.add(() => void calls.push('other'));
  mock.timers.tick(150);
  expect(calls).toEqual(['first']);
  mock.timers.reset();
});
