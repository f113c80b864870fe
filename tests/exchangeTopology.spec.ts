/** The topology of a rollout: connected, symmetric, of bounded degree, the same in every process. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { Member } from '../src/protocol/rolloutMessages.js';
import { SeededRandom, shuffled } from '../src/utils/random.js';
import { ExchangeTopology } from '../src/weights/exchangeTopology.js';

const policy = new ExchangeTopology();

function members(perDataCentre: number, dataCentres = ['a', 'b', 'c']): Member[] {
  return dataCentres.flatMap((dataCentre) =>
    Array.from({ length: perDataCentre }, (_none, index) => ({
      box: `${dataCentre}-${index}`,
      dataCentre,
      address: '127.0.0.1',
      httpPort: 1,
      controlPort: 1,
    })),
  );
}

function neighboursOf(box: string, all: Member[]): string[] {
  return policy.topologyOf(box, all).neighbours.map((neighbour) => neighbour.member.box);
}

for (const perDataCentre of [1, 2, 8, 40, 142]) {
  test(`should be symmetric and connected with ${perDataCentre} boxes a data centre`, () => {
    const all = members(perDataCentre);
    const reached = new Set([all[0].box]);
    const open = [all[0].box];
    while (open.length > 0) {
      const box = open.pop()!;
      for (const other of neighboursOf(box, all)) {
        if (box === all[0].box) expect(neighboursOf(other, all).includes(box)).toEqual(true);
        if (!reached.has(other)) open.push(other);
        reached.add(other);
      }
    }
    expect(reached.size).toEqual(all.length);
  });
}

test('should keep the number of neighbours small in a large data centre', () => {
  const all = members(142, ['a', 'b', 'c', 'd', 'e']);
  const degrees = all.map((member) => neighboursOf(member.box, all).length);
  expect(Math.max(...degrees) <= 56).toEqual(true);
  expect(degrees.filter((degree) => degree > 16).length <= 40).toEqual(true);
});

test('should not depend on the order of the members', () => {
  const all = members(20);
  const other = shuffled(all, new SeededRandom(4));
  expect(neighboursOf('b-3', other).sort()).toEqual(neighboursOf('b-3', all).sort());
});

test('should assign each missing chunk once, evenly to a few boxes of every data centre', () => {
  const chunksByBox = policy.initialOriginFetches(
    Array.from({ length: 90 }, (_none, index) => index),
    members(8),
    1,
  );
  const chunks = [...chunksByBox.values()].flat();
  expect(new Set(chunks).size).toEqual(90);
  expect(chunks.length).toEqual(90);
  expect([...chunksByBox.values()].every((list) => list.length === 10)).toEqual(true);
  expect(new Set([...chunksByBox.keys()].map((box) => box[0])).size).toEqual(3);
});

test('should spread imports over the gateways of a data centre', () => {
  const all = members(8);
  const firsts = Array.from(
    { length: 8 },
    (_none, chunk) => policy.topologyOf('a-0', all).importers(chunk)![0],
  );
  expect(new Set(firsts).size).toEqual(8);
});

test('should let twice as many boxes fetch from the origin for a rollout of twice the weight', () => {
  const missing = Array.from({ length: 90 }, (_none, index) => index);
  expect(policy.initialOriginFetches(missing, members(8), 2).size).toEqual(18);
  expect(policy.initialOriginFetches(missing, members(8), 0.1).size).toEqual(6);
});
