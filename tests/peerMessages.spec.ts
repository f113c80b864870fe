/** What an agent remembers of where other boxes stand on the way to a version. */
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
  return messages.stages(2).map(({ box }) => box);
}

function peerMessages(): PeerMessages {
  return new PeerMessages(
    () => [],
    new ManualClock(),
    () => undefined,
  );
}

/**
 * Symptom: a box may begin its turn though another is between two versions.
 * Sequence: the other box leaves the list of agents and comes back; the connection to it lasts all the while.
 * Cause: what it had told was forgotten when it left the list, and it tells nothing anew since to its mind nothing has changed.
 */
test('should know where a box stands that leaves the list and comes back on the same connection', () => {
  const messages = peerMessages();
  messages.setPeers(['b']);
  messages.onPeerMessage('b', SWITCHING);
  messages.setPeers([]);
  expect(boxesOf(messages)).toEqual([]);
  messages.setPeers(['b']);
  expect(boxesOf(messages)).toEqual(['b']);
});

test('should forget where a box stands whose connection has ended', () => {
  const messages = peerMessages();
  messages.setPeers(['b']);
  messages.onPeerMessage('b', SWITCHING);
  messages.onPeerDown('b');
  expect(boxesOf(messages)).toEqual([]);
});

/**
 * A box hears nothing of the stages of one that does not list it, so that it has to be told where that stands by then. Without that,
 * the last state comes twice at most: when the connection opens, and as a change.
 */
test('should tell a connected box anew where it stands when that box is listed again', async () => {
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
