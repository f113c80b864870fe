/** Which chunk is fetched next, from which peer, and which gateway fetches from another data centre. */
import { test } from 'node:test';
import { expect } from 'earl';
import { ChunkPicker } from '../src/weights/chunkPicker.js';
import { PeerView } from '../src/weights/peerView.js';
import { Bitset } from '../src/utils/bitset.js';
import { ManualClock } from '../src/utils/clock.js';
import { SeededRandom } from '../src/utils/random.js';

const CHUNKS = 8;
const IMPORT_STEP_MILLISECONDS = 1_000;

interface PickerFixture {
  picker: ChunkPicker;
  clock: ManualClock;
  held: Bitset;
  peer(box: string, chunks: number[], crossDataCentre?: boolean): PeerView;
}

/** Creates a picker for the box 'self'. By default, the importers of every chunk are 'first', then 'self'. */
function createPicker(importers: readonly string[] | undefined = ['first', 'self']): PickerFixture {
  const clock = new ManualClock();
  const held = new Bitset(CHUNKS);
  const random = new SeededRandom(1);
  const picker = new ChunkPicker({
    box: 'self',
    held,
    clock,
    random,
    importers: () => importers,
    importStepMilliseconds: IMPORT_STEP_MILLISECONDS,
    fetchesPerPeer: 1,
  });
  const peer = (box: string, chunks: number[], crossDataCentre = false): PeerView => {
    const view = new PeerView(box, crossDataCentre, CHUNKS);
    view.connected = true;
    picker.addPeer(view);
    for (const chunk of chunks) picker.markHeld(view, chunk);
    return view;
  };
  return { picker, clock, held, peer };
}

test('should pick the chunk that the fewest neighbours hold', () => {
  const { picker, peer } = createPicker();
  peer('a', [0, 1, 2]);
  peer('b', [0, 1]);
  expect(picker.next()?.chunk).toEqual(2);
});

test('should pick nothing that is held or being fetched', () => {
  const { picker, held, peer } = createPicker();
  peer('a', [0, 1]);
  held.add(0);
  picker.markInFlight(1);
  expect(picker.next()).toEqual(undefined);
});

test('should not exceed the limit of concurrent fetches from a peer', () => {
  const { picker, peer } = createPicker();
  peer('a', [0]).inFlight = 1;
  expect(picker.next()).toEqual(undefined);
});

test('should leave a chunk of another data centre to the gateway that comes first', () => {
  const { picker, peer } = createPicker();
  peer('first', []);
  peer('far', [4], true);
  expect(picker.next()).toEqual(undefined);
});

test('should fetch in place of a gateway that does not fetch in time', () => {
  const { picker, clock, peer } = createPicker();
  peer('first', []);
  peer('far', [4], true);
  clock.advance(IMPORT_STEP_MILLISECONDS);
  expect(picker.next()?.peer.box).toEqual('far');
});

test('should fetch immediately in place of a gateway that is not connected', () => {
  const { picker, peer } = createPicker();
  peer('far', [4], true);
  expect(picker.next()?.peer.box).toEqual('far');
});

test('should never fetch from another data centre what a neighbour in its own holds', () => {
  const { picker, clock, peer } = createPicker(['self']);
  peer('far', [4], true);
  const near = peer('near', [4]);
  near.inFlight = 1;
  clock.advance(IMPORT_STEP_MILLISECONDS * 10);
  expect(picker.next()).toEqual(undefined);
});

test('should forget what a lost neighbour held', () => {
  const { picker, peer } = createPicker();
  const lost = peer('a', [0]);
  picker.removePeer(lost);
  expect(picker.next()).toEqual(undefined);
});

test('should exclude a peer after repeated corrupt chunks', () => {
  const { picker, peer } = createPicker();
  const bad = peer('bad', [0]);
  for (let count = 0; count < 3; count++) bad.countCorruptChunk();
  expect(picker.next()).toEqual(undefined);
});

test('should return only the neighbours that lack a chunk', () => {
  const { picker, peer } = createPicker();
  peer('has-both', [0, 1]);
  peer('has-one', [0]);
  peer('elsewhere', [], true);
  const names = (crossDataCentre: boolean): string[] =>
    picker.peersLacking([0, 1], crossDataCentre).map(({ box }) => box);
  expect(names(false)).toEqual(['has-one']);
  expect(names(true)).toEqual(['elsewhere']);
});

// Guards against all boxes asking the one holder of the newest chunk while the links of the others are idle.
test('should prefer a chunk of an idle neighbour to a rarer one of a busy neighbour', () => {
  const { picker, peer } = createPicker();
  peer('busy', [2]).uploadQueue = 2;
  peer('idle', [0, 1]);
  peer('other', [0]);
  expect(picker.next()?.chunk).toEqual(1);
});

// A chunk of another data centre is at one box only, and all boxes of this data centre wait for it.
test('should import a chunk before others even if its holder is busy', () => {
  const { picker, peer } = createPicker(['self']);
  peer('far', [2], true).uploadQueue = 5;
  peer('idle', [0]);
  expect(picker.next()?.chunk).toEqual(2);
});

// Guards against three fetches that all wait for boxes with throttled links while other boxes hold other chunks.
test('should fetch from a slow neighbour only what no other one can send', () => {
  const { picker, clock, held, peer } = createPicker([]);
  peer('slow', [0, 1]).markSlow(clock.now());
  peer('usual', [1, 2]).uploadQueue = 3;
  peer('third', []);
  peer('other', [1, 2]);
  const picks: number[] = [];
  for (let pick = picker.next(); pick; pick = picker.next()) {
    expect(pick.peer.box === 'slow').toEqual(pick.chunk === 0);
    picks.push(pick.chunk);
    held.add(pick.chunk);
  }
  expect(picks.at(-1)).toEqual(0);
});

// Guards against a data centre that waits for a throttled box although others could send the chunk once more.
test('should import a chunk again if all its holders in the data centre are slow', () => {
  const { picker, clock, peer } = createPicker(['self']);
  const slow = peer('slow', [1]);
  peer('third', []);
  peer('far', [1], true);
  expect(picker.next()?.peer.box).toEqual('slow');
  slow.markSlow(clock.now());
  expect(picker.next()?.peer.box).toEqual('far');
  clock.advance(2_000);
  expect(picker.next()?.peer.box).toEqual('slow');
});

test('should report a chunk as scarce that is at one neighbour or at slow ones only', () => {
  const { picker, clock, peer } = createPicker();
  peer('a', [0, 1]);
  const second = peer('b', [1, 2]);
  const third = peer('c', [2]);
  for (const box of ['d', 'e', 'f']) peer(box, []);
  expect([0, 1, 2, 3].map((chunk) => picker.soleHolder(chunk))).toEqual([
    'a',
    undefined,
    undefined,
    undefined,
  ]);
  second.markSlow(clock.now());
  third.markSlow(clock.now());
  expect([1, 2].map((chunk) => picker.soleHolder(chunk))).toEqual([undefined, 'b']);
});

// Guards against boxes that are all short of processor time and import and fetch each chunk several times.
test('should treat no neighbour as slow if many of them are', () => {
  const { picker, clock, peer } = createPicker(['self']);
  const first = peer('a', [1]);
  const second = peer('b', [2]);
  peer('far', [1, 2], true);
  first.markSlow(clock.now());
  expect(picker.isSlow(first)).toEqual(true);
  second.markSlow(clock.now());
  expect([picker.isSlow(first), picker.isSlow(second)]).toEqual([false, false]);
  expect(picker.next()?.peer.crossDataCentre).toEqual(false);
});
