/**
 * Guards against overloading a cold server, which fails well above its bound. With the division that other limits have,
 * 100 entries sent it up to 200 requests in a second while they knew nothing of each other, and up to 68 while they were
 * split into halves, for a bound of 44.
 */
import { test } from 'node:test';
import { expect } from 'earl';
import type { PlacedBox } from '../src/utils/dataCentreOrder.js';
import { SeededRandom } from '../src/utils/random.js';
import { ColdFleet, boxes } from './fixtures/coldFleet.js';

const COLD_PER_SECOND = 26;
const COUNTS = [6, 20, 44, 69, 100];
const SERVERS = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'];
const COLD_MILLISECONDS = 3_000;

function bound(coldPerSecond: number): number {
  return 1.5 * coldPerSecond + 5;
}

function target(milliseconds: number): number {
  return (0.9 * COLD_PER_SECOND * milliseconds) / 1_000;
}

type Known = readonly PlacedBox[] | undefined;

/** What each entry knows about the entries. */
const VIEWS: Record<string, (all: readonly PlacedBox[], random: SeededRandom) => (own: PlacedBox) => Known> =
  {
    'know each other': (all) => () => all,
    'know nothing': () => () => undefined,
    'know two thirds of the others': (all, random) => (own) =>
      all.filter((other) => other === own || random.fraction() < 2 / 3),
    'also know twice as many that have ended': (all) => () => [...all, ...boxes(2 * all.length, 'ended')],
    'are split into halves': (all) => (own) =>
      all.filter((_other, index) => index % 2 === all.indexOf(own) % 2),
    'are split by data centre': (all) => (own) =>
      all.filter(({ dataCentre }) => (dataCentre === 'north') === (own.dataCentre === 'north')),
    'partly know nothing': (all) => {
      const half = all.filter((_other, index) => index % 2 === 0);
      return (own) => (half.includes(own) ? all : undefined);
    },
  };

for (const [name, viewOf] of Object.entries(VIEWS)) {
  for (const count of COUNTS) {
    test(`should keep the bound of a cold server with ${count} entries that ${name}`, () => {
      for (const server of SERVERS) {
        const fleet = new ColdFleet(COLD_PER_SECOND, server);
        const all = boxes(count);
        const view = viewOf(all, new SeededRandom(count));
        for (const own of all) {
          const known = view(own);
          fleet.start(own.box, () => known);
        }
        fleet.cool(COLD_MILLISECONDS);
        fleet.run(COLD_MILLISECONDS);
        expect(fleet.maxInSecond).toBeLessThanOrEqual(bound(COLD_PER_SECOND));
        expect(fleet.sends.length).toBeGreaterThan(0);
        if (name === 'know each other')
          expect(fleet.sends.length).toBeGreaterThan(target(COLD_MILLISECONDS) / 2);
      }
    });
  }
}

for (const count of COUNTS) {
  test(`should keep the bound and soon use the rate when ${count} entries start at the same time`, () => {
    for (const [seed, server] of SERVERS.entries()) {
      const fleet = new ColdFleet(COLD_PER_SECOND, server);
      const random = new SeededRandom(seed);
      const all = boxes(count);
      const startedAt = new Map(all.map(({ box }) => [box, random.fraction() * 400]));
      for (const { box } of all) {
        const lag = new Map(all.map((other) => [other.box, 100 + random.fraction() * 900]));
        fleet.startSettling(box, all, (other) => startedAt.get(other)! + lag.get(other)!);
      }
      fleet.cool(6_000);
      fleet.run(2_000);
      expect(fleet.sends.length).toBeGreaterThan(0);
      fleet.run(1_000);
      const before = fleet.sends.length;
      fleet.run(3_000);
      expect(fleet.maxInSecond).toBeLessThanOrEqual(bound(COLD_PER_SECOND));
      expect(fleet.sends.length - before).toBeGreaterThan(target(3_000) / 2);
    }
  });
}

test('should keep the bound while 100 entries restart every second', () => {
  const fleet = new ColdFleet(COLD_PER_SECOND);
  for (let second = 0; second < 8; second++) {
    for (const { box } of boxes(100)) fleet.start(box, () => undefined);
    fleet.cool(COLD_MILLISECONDS);
    fleet.run(1_000);
  }
  expect(fleet.maxInSecond).toBeLessThanOrEqual(bound(COLD_PER_SECOND));
  expect(fleet.sends.length).toBeGreaterThan(0);
});

for (const coldPerSecond of [0.4, 1, 5, 100, 1_000]) {
  test(`should keep the bound of a server that handles ${coldPerSecond} requests per second while cold`, () => {
    for (const count of COUNTS) {
      const fleet = new ColdFleet(coldPerSecond);
      const all = boxes(count);
      const halves = [0, 1].map((half) => all.filter((_other, index) => index % 2 === half));
      for (const [index, { box }] of all.entries()) fleet.start(box, () => halves[index % 2]);
      fleet.cool(3_000);
      fleet.run(3_000);
      expect(fleet.maxInSecond).toBeLessThanOrEqual(bound(coldPerSecond));
    }
  });
}
