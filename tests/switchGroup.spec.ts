/** The boxes that a box connects to, and those with which it takes turns at switching. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { Member } from '../src/protocol/rolloutMessages.js';
import { originFetchOrder, initialOriginFetchers } from '../src/staging/originFetchSchedule.js';
import { connectedPeers, switchGroup } from '../src/staging/switchGroup.js';
import { exchangeGateways } from '../src/weights/exchangeTopology.js';
import { membersOf } from './fixtures/memberFixture.js';

const DATA_CENTRES = ['east', 'north', 'south', 'west', 'middle'];

function members(count: number): Member[] {
  return membersOf(count, DATA_CENTRES);
}

test('should connect all boxes of a small service', () => {
  expect(connectedPeers('box-0', members(40))).toHaveLength(39);
  expect(switchGroup('box-0', members(40))).toHaveLength(40);
});

test('should take turns within a data centre in a large service', () => {
  const group = switchGroup('box-0', members(144));
  expect(group).toHaveLength(29);
  expect(group.every(({ dataCentre }) => dataCentre === 'east')).toEqual(true);
});

test('should bound the connections of a box however large the service is', () => {
  for (const count of [41, 144, 600, 3_000]) {
    const most = Math.max(...members(30).map(({ box }) => connectedPeers(box, members(count)).length));
    expect(most).toBeLessThanOrEqual(100);
  }
});

test('should be connected both ways or not at all', () => {
  for (const count of [60, 144, 500]) {
    const all = members(count);
    const peers = new Map(
      all.map(({ box }) => [box, new Set(connectedPeers(box, all).map((peer) => peer.box))]),
    );
    for (const [box, connected] of peers) {
      for (const peer of connected) expect(peers.get(peer)!.has(box)).toEqual(true);
    }
  }
});

test('should download at boxes that exchange chunks with other data centres', () => {
  const all = members(144);
  const gateways = new Set(exchangeGateways(all).map(({ box }) => box));
  const downloaders = initialOriginFetchers(originFetchOrder('model@2', all));
  expect(downloaders).toHaveLength(12);
  expect(downloaders.every((box) => gateways.has(box))).toEqual(true);
});
