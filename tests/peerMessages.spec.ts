/** The switch stages of other boxes that an agent keeps. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import type { Message } from '../src/protocol/message.js';
import { PeerMessages } from '../src/staging/peerMessages.js';
import { ManualClock } from '../src/utils/clock.js';
import { StagingFixture } from './fixtures/stagingFixture.js';
import { until } from './fixtures/until.js';

const SWITCHING = { type: 'switch-state', version: 2, state: 'switching' } as const;

let fixture: StagingFixture;

beforeEach(() => {
  fixture = new StagingFixture();
});

afterEach(async () => await fixture.stop());

function boxesOf(messages: PeerMessages): string[] {
  return messages.phases(2).map(({ box }) => box);
}

function peerMessages(): PeerMessages {
  return new PeerMessages(
    () => [],
    new ManualClock(),
    () => undefined,
  );
}

/**
 * Guards against a box that begins its turn while another one is switching. The other box leaves the list of agents
 * and comes back, while the connection to it stays open. If its stage were dropped when it leaves the list, it
 * would stay unknown, since the other box reports only changes.
 */
test('should know the stage of a box that leaves the list and comes back on the same connection', () => {
  const messages = peerMessages();
  messages.setPeers(['b']);
  messages.onPeerMessage('b', SWITCHING);
  messages.setPeers([]);
  expect(boxesOf(messages)).toEqual([]);
  messages.setPeers(['b']);
  expect(boxesOf(messages)).toEqual(['b']);
});

test('should forget the stage of a box when its connection has ended', () => {
  const messages = peerMessages();
  messages.setPeers(['b']);
  messages.onPeerMessage('b', SWITCHING);
  messages.onPeerDown('b');
  expect(boxesOf(messages)).toEqual([]);
});

/**
 * A box does not receive the stages of boxes that do not list it, so it has to be sent the current stage when it is
 * listed again. Otherwise the last stage would be sent twice at most: when the connection opens, and as a change.
 */
test('should send its stage again to a connected box that is listed again', async () => {
  await fixture.start(1);
  await until(() => fixture.allServe(1));
  const heard: Message[] = [];
  const peer = await fixture.connectAsAgent(fixture.boxes[0], (message) => void heard.push(message));
  const timesServing = (): number =>
    heard.filter((message) => message.type === 'switch-state' && message.state === 'serving').length;
  fixture.notifyAll([peer]);
  await until(() => timesServing() > 0);
  for (const others of [[], [peer], [], [peer]]) fixture.notifyAll(others);
  await until(() => timesServing() >= 3);
});

test('should not take a box for stuck because this process was paused', () => {
  const clock = new ManualClock();
  const messages = new PeerMessages(
    () => [],
    clock,
    () => undefined,
  );
  messages.setPeers(['b']);
  messages.onPeerMessage('b', SWITCHING);
  clock.advance(4_200);
  messages.onPaused(4_000);
  expect(messages.phases(2)).toEqual([{ box: 'b', phase: 'switching', phaseMilliseconds: 200 }]);
});

test('should not begin a turn right after a pause, before the other boxes have reported their phases', async () => {
  await fixture.start(2);
  await until(() => fixture.allServe(1));
  blockProcess(700);
  await until(() => fixture.logLines.some((line) => line.includes('agent.paused')));
  const resumedAt = performance.now();
  fixture.announce(2);
  await until(() => fixture.logLines.some((line) => line.includes('version.preparing')));
  expect(performance.now() - resumedAt >= 500).toEqual(true);
});

/** Keeps this process from running anything else, as a pause does. */
function blockProcess(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}
