/** The origin budget: a hard limit over all boxes and over a change of coordinator. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { OriginBudget } from '../src/rollout/originBudget.js';

test('should refuse a grant that would pass the limit and book nothing of it', () => {
  const budget = new OriginBudget(100, {});
  expect(budget.reserve(new Map([['a/1', 60]]))).toEqual({ 'a/1': 60 });
  expect(budget.reserve(new Map([['b/1', 41]]))).toEqual(undefined);
  expect(budget.spentBytes).toEqual(60);
});

test('should count all that was granted to a drawer that does not answer', () => {
  const successor = new OriginBudget(100, { 'a/1': 60 });
  expect(successor.reserve(new Map([['b/1', 60]]))).toEqual(undefined);
});

test('should count what a drawer really drew once it answers', () => {
  const successor = new OriginBudget(100, { 'a/1': 60 });
  successor.recordUsage({ agent: 'a/1', originBytes: 10, openBytes: 20 });
  expect(successor.spentBytes).toEqual(30);
  expect(successor.reserve(new Map([['b/1', 60]]))).toEqual({ 'a/1': 60, 'b/1': 60 });
});

test('should not take the account of a new incarnation for that of the lost one', () => {
  const successor = new OriginBudget(100, { 'a/1': 60 });
  successor.recordUsage({ agent: 'a/2', originBytes: 0, openBytes: 0 });
  expect(successor.spentBytes).toEqual(60);
});

test('should hold over any chain of coordinators', () => {
  const LIMIT = 1_000;
  const step = fc.record({
    drawer: fc.constantFrom('a/1', 'b/1', 'c/1'),
    bytes: fc.integer({ min: 1, max: 300 }),
    takeover: fc.boolean(),
    answers: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      let table: Record<string, number> = {};
      let budget = new OriginBudget(LIMIT, table);
      const drawn = new Map<string, number>();
      for (const { drawer, bytes, takeover, answers } of steps) {
        if (takeover) {
          budget = new OriginBudget(LIMIT, table);
          if (answers)
            budget.recordUsage({ agent: drawer, originBytes: drawn.get(drawer) ?? 0, openBytes: 0 });
        }
        const booked = budget.reserve(new Map([[drawer, bytes]]));
        if (!booked) continue;
        table = booked;
        drawn.set(drawer, (drawn.get(drawer) ?? 0) + bytes);
      }
      const total = [...drawn.values()].reduce((sum, bytes) => sum + bytes, 0);
      expect(total <= LIMIT).toEqual(true);
    }),
    { seed: 3 },
  );
});
