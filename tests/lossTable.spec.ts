/** `larklatch losses`: counts of request ends, from log lines. */
import { Readable } from 'node:stream';
import { test } from 'node:test';
import { expect } from 'earl';
import { formatLosses, readLosses } from '../src/cli/lossTable.js';

const START = 1_000_000;

function line(step: string, atSeconds: number, fields: object = {}): string {
  const milliseconds = 500;
  const time = START + atSeconds * 1_000 + milliseconds;
  const all = { time, step, route: 'r', attempts: 1, milliseconds, objectiveMilliseconds: 400, ...fields };
  return `12.5 gateway-1 ${JSON.stringify(all)}\n`;
}

test('should count how requests ended by the second in which they began, and by route', async () => {
  const log = [
    line('request.answered', 0, { firstMilliseconds: 100, pauseMilliseconds: 60 }),
    line('request.answered', 0.5, { firstMilliseconds: 450, pauseMilliseconds: 60, attempts: 2 }),
    line('request.answered', 1.2, { firstMilliseconds: 100, pauseMilliseconds: 350, route: 's' }),
    line('request.refused', 1.4),
    line('request.refused', 1.5, { noAttempt: 'no permitted server' }),
    'not a log line\n',
  ];
  const rows = await readLosses(Readable.from(log), 300);
  expect(rows.map(({ group }) => group)).toEqual(['second 0', 'second 1', 'route r', 'route s']);
  expect(rows[0]).toLooseEqual({
    group: 'second 0',
    moved: 1,
    ends: {
      'in-time': 1,
      'late-first': 1,
      'late-midway': 0,
      refused: 0,
      'not-permitted': 0,
      failed: 0,
      cut: 0,
      'caller-gone': 0,
    },
  });
  const { ends } = rows[1];
  expect([ends['late-midway'], ends.refused, ends['not-permitted']]).toEqual([1, 1, 1]);
  expect(formatLosses(rows).length).toEqual(5);
});

test('should count rejected requests by rank, timeliness and reason', async () => {
  const rejection = { noAttempt: 'reserved', timeliness: 'late', rank: 1, pressure: 0.93 };
  const log = [line('request.refused', 0, rejection), line('request.refused', 0.2, rejection)];
  const rows = await readLosses(Readable.from(log), 300);
  expect(rows.map(({ group, ends }) => [group, ends.refused])).toEqual([
    ['second 0', 2],
    ['route r', 2],
    ['rank 1 late reserved', 2],
  ]);
});
