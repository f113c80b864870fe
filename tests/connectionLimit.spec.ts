/** Which connections are closed when clients keep too many open. */
import { test } from 'node:test';
import { expect } from 'earl';
import { ClientLimits } from '../src/limits/clientLimits.js';
import type { LimitReport } from '../src/limits/clientLimits.js';
import { ConnectionLimit } from '../src/limits/connectionLimit.js';

/** Adds connections that have been idle since the given times; returns which were accepted, and which closed. */
function add(
  limit: ConnectionLimit,
  idleSince: (number | undefined)[],
): { accepted: boolean[]; closed: number[] } {
  const closed: number[] = [];
  const accepted = idleSince.map((since, index) =>
    limit.add({ idleSince: since, close: () => closed.push(index) }),
  );
  return { accepted, closed };
}

test('should close the connection that has been idle for longest', () => {
  const result = add(new ConnectionLimit(3), [5, 2, 9, 10]);
  expect(result).toEqual({ accepted: [true, true, true, true], closed: [1] });
});

test('should not close connections that wait for an answer', () => {
  const result = add(new ConnectionLimit(2), [undefined, 7, 8]);
  expect(result).toEqual({ accepted: [true, true, true], closed: [1] });
});

test('should refuse a connection if all others wait for an answer', () => {
  const limit = new ConnectionLimit(2);
  expect(add(limit, [undefined, undefined, 1])).toEqual({ accepted: [true, true, false], closed: [] });
  expect(limit.count).toEqual(2);
});

/** Guards against a log line for each request of a crowd. */
test('should report from time to time while clients are held back', () => {
  const reports: LimitReport[] = [];
  const limits = new ClientLimits(
    { clientMegabytes: 1, clientConnections: 16 },
    { log: { state: (_step, report) => void reports.push(report) } },
  );
  for (let second = 0; second < 8; second++) {
    limits.memory.share().take(2 * 1024 * 1024);
    limits.check(second * 1_000);
  }
  expect(reports.map(({ refused }) => refused)).toEqual([1, 5]);
});
