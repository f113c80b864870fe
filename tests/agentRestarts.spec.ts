/**
 * Guards against a server that gets requests, or stays out of service, because a restarted agent does not know whether
 * its server took intact chunks.
 */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import type { ConfirmedLoad } from '../src/protocol/boxMessages.js';
import { pause } from '../src/utils/timers.js';
import type { StagingBox } from './fixtures/stagingFixture.js';
import { MODEL, StagingFixture } from './fixtures/stagingFixture.js';
import { until } from './fixtures/until.js';

let fixture: StagingFixture;

beforeEach(() => {
  fixture = new StagingFixture();
});

afterEach(async () => await fixture.stop());

/** Restarts the agent of a box; `isIntact` tells whether the staged chunks are still intact then. */
async function restartAgent(isIntact: boolean): Promise<StagingBox> {
  await fixture.start(1);
  await until(() => fixture.allServe(1));
  const [box] = fixture.boxes;
  await fixture.stopAgent(box);
  box.stored = undefined;
  if (!isIntact) box.server.staged.set(3, Buffer.from('corrupt'));
  await fixture.startAgent(box);
  return box;
}

/** The versions that an agent reports to an entry that remembers `confirmed`. */
async function reportedTo(box: StagingBox, confirmed: ConfirmedLoad[]): Promise<number[]> {
  const versions: number[] = [];
  const sendPresence = await fixture.connectAsEntry(box, (message) => {
    if (message.type === 'box-status' && message.model === MODEL) versions.push(message.version);
  });
  sendPresence({ confirmed });
  fixture.notifyAll();
  return versions;
}

test('should serve at once after a restart of the agent what an entry remembers as confirmed', async () => {
  const box = await restartAgent(false);
  const { startedAt } = box.server;
  const versions = await reportedTo(box, [{ startedAt, revision: 1, version: 1 }]);
  await until(() => versions.length > 2);
  expect(versions).toEqual(versions.map(() => 1));
});

test('should read the staged chunks after a restart of the agent if nobody remembers a confirmation', async () => {
  const box = await restartAgent(true);
  const versions = await reportedTo(box, []);
  await until(() => versions.at(-1) === 1);
});

test('should not serve after a restart of the agent what nobody remembers and is corrupt', async () => {
  const box = await restartAgent(false);
  const versions = await reportedTo(box, [{ startedAt: box.server.startedAt, revision: 2, version: 1 }]);
  await until(() => fixture.logLines.some((line) => line.includes('version.doubtful')));
  const count = versions.length;
  await until(() => versions.length > count + 1);
  expect(versions.includes(1)).toEqual(false);
});

test('should serve after a restart of the agent what the store remembers while the next version is staged', async () => {
  await fixture.start(1);
  await until(() => fixture.allServe(1));
  const [box] = fixture.boxes;
  await until(() => box.stored !== undefined);
  await fixture.stopAgent(box);
  box.server.busy = true;
  await fixture.startAgent(box);
  fixture.announce(2);
  const versions = await reportedTo(box, []);
  await until(() => versions.includes(1));
});

test('should load the next version after an entry has remembered late what a restarted agent could not read', async () => {
  const box = await restartAgent(false);
  fixture.origin.down = true;
  const versions = await reportedTo(box, []);
  await until(() => fixture.logLines.some((line) => line.includes('confirmation.read')));
  await pause(1_300);
  expect(versions.includes(1)).toEqual(false);
  await reportedTo(box, [{ startedAt: box.server.startedAt, revision: 1, version: 1 }]);
  await until(() => versions.includes(1));
  fixture.origin.down = false;
  fixture.announce(2);
  await until(() => fixture.allServe(2));
});
