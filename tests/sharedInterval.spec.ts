/** One timer for many. */
import { mock, test } from 'node:test';
import { expect } from 'earl';
import { SharedInterval } from '../src/utils/sharedInterval.js';

test('should call all who were added, until they end it', () => {
  mock.timers.enable({ apis: ['setInterval'] });
  const interval = new SharedInterval(50);
  const calls: string[] = [];
  const endFirst = interval.add(() => void calls.push('first'));
  const endSecond = interval.add(() => void calls.push('second'));
  mock.timers.tick(50);
  endFirst();
  mock.timers.tick(50);
  endSecond();
  mock.timers.tick(200);
  expect(calls).toEqual(['first', 'second', 'second']);
  const endThird = interval.add(() => void calls.push('third'));
  mock.timers.tick(50);
  endThird();
  expect(calls.at(-1)).toEqual('third');
  mock.timers.reset();
});

test('should let one that is called end itself and others', () => {
  mock.timers.enable({ apis: ['setInterval'] });
  const interval = new SharedInterval(50);
  const calls: string[] = [];
  let endOther = (): void => undefined;
  const endFirst = interval.add(() => {
    calls.push('first');
    endFirst();
    endOther();
  });
  endOther = interval.add(() => void calls.push('other'));
  mock.timers.tick(150);
  expect(calls).toEqual(['first']);
  mock.timers.reset();
});
