/** OriginBudget: the limit holds over all boxes and after a change of coordinator. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { OriginBudget } from '../src/rollout/originBudget.js';

test('should refuse a grant that would exceed the limit, and reserve nothing', () => {
  const budget = new OriginBudget(100, {});
  expect(budget.reserve(new Map([['a/1', 60]]))).toEqual({ 'a/1': 60 });
  expect(budget.reserve(new Map([['b/1', 41]]))).toEqual(undefined);
  expect(budget.spentBytes).toEqual(60);
});

test('should count everything that was granted to an agent that does not answer', () => {
  const successor = new OriginBudget(100, { 'a/1': 60 });
  expect(successor.reserve(new Map([['b/1', 60]]))).toEqual(undefined);
});

test('should count the reported usage of an agent once it answers', () => {
  const successor = new OriginBudget(100, { 'a/1': 60 });
  successor.recordUsage({ agent: 'a/1', originBytes: 10, openBytes: 20 });
  expect(successor.spentBytes).toEqual(30);
  expect(successor.reserve(new Map([['b/1', 60]]))).toEqual({ 'a/1': 60, 'b/1': 60 });
});

test('should not count the usage of a new incarnation as that of the lost one', () => {
  const successor = new OriginBudget(100, { 'a/1': 60 });
  successor.recordUsage({ agent: 'a/2', originBytes: 0, openBytes: 0 });
  expect(successor.spentBytes).toEqual(60);
});

test('should hold for any sequence of coordinators', () => {
  const LIMIT = 1_000;
  const step = fc.record({
    agent: fc.constantFrom('a/1', 'b/1', 'c/1'),
    bytes: fc.integer({ min: 1, max: 300 }),
    takeover: fc.boolean(),
    answers: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      let table: Record<string, number> = {};
      let budget = new OriginBudget(LIMIT, table);
      const downloaded = new Map<string, number>();
      for (const { agent, bytes, takeover, answers } of steps) {
        if (takeover) {
          budget = new OriginBudget(LIMIT, table);
          if (answers) budget.recordUsage({ agent, originBytes: downloaded.get(agent) ?? 0, openBytes: 0 });
        }
        const reserved = budget.reserve(new Map([[agent, bytes]]));
        if (!reserved) continue;
        table = reserved;
        downloaded.set(agent, (downloaded.get(agent) ?? 0) + bytes);
      }
      const total = [...downloaded.values()].reduce((sum, bytes) => sum + bytes, 0);
      expect(total <= LIMIT).toEqual(true);
    }),
    { seed: 3 },
  );
});
