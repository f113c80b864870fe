/** The order in which requests for chunks are served, and which of them are refused. */
import { test } from 'node:test';
import { expect } from 'earl';
import { UploadPriorities } from '../src/staging/uploadPriorities.js';
import { switchOrder } from '../src/staging/originFetchSchedule.js';
import type { RankedUpload, UploadPriority } from '../src/weights/uploadOrder.js';
import { admitUpload, nextUpload } from '../src/weights/uploadOrder.js';
import { membersOf } from './fixtures/memberFixture.js';

function waiting(priority: UploadPriority, rank?: number, timesSent = 0): RankedUpload {
  return { request: { chunk: 'r/0', priority, rank }, timesSent };
}

test('should serve other data centres, then the box that switches first', () => {
  const uploads = [
    waiting('early', 3),
    waiting('early', 1),
    waiting('other-data-centre'),
    waiting('usual', 9),
  ];
  expect(nextUpload(uploads)).toEqual(2);
  expect(nextUpload(uploads.filter(({ request }) => request.priority !== 'other-data-centre'))).toEqual(1);
  expect(nextUpload([])).toEqual(-1);
});

test('should serve the rarer chunk first among equally urgent requests', () => {
  expect(nextUpload([waiting('usual', 2, 4), waiting('usual', 2, 1)])).toEqual(1);
});

// Guards against a late box that waits for 1.5 s, until it gives up, behind boxes that switch before it.
test('should refuse the box that switches last when too many wait', () => {
  const uploads = [waiting('usual', 20), waiting('usual', 30)];
  expect(admitUpload(uploads, { chunk: 'r/1', priority: 'usual', rank: 25 })).toEqual({ displace: 1 });
  expect(admitUpload(uploads, { chunk: 'r/1', priority: 'usual', rank: 40 })).toEqual('refuse');
  expect(admitUpload(uploads, { chunk: 'r/1', priority: 'early', rank: 2 })).toEqual('wait');
});

// Agents of another kind give no ranks: the limits of their queues stay as they are.
test('should displace no request if none has a rank', () => {
  const uploads = [waiting('usual'), waiting('usual')];
  expect(admitUpload(uploads, { chunk: 'r/1', priority: 'usual' })).toEqual('refuse');
});

test('should rank boxes of the own data centre by the order in which they switch', () => {
  const members = membersOf(12, ['north', 'south', 'west']);
  const priorities = new UploadPriorities('north', () => members);
  const own = switchOrder('r', members).filter((box) =>
    members.some((member) => member.box === box && member.dataCentre === 'north'),
  );
  const found = own.map((box) => priorities.priorityFor(box, 'r'));
  expect(found.map(({ priority }) => priority)).toEqual(['early', 'early', 'usual', 'usual']);
  const ranks = found.map(({ rank = -1 }) => rank);
  expect(ranks).toEqual([...ranks].sort((a, b) => a - b));
  const far = members.find(({ dataCentre }) => dataCentre === 'south')!;
  expect(priorities.priorityFor(far.box, 'r')).toEqual({ priority: 'other-data-centre' });
});
