/** Tests rollouts on real processes that are killed or frozen, outages, and configuration changes during a rollout. */
import { test } from 'node:test';
import { expect } from 'earl';
import { CHUNK_BYTES, coordinator, engineState, rollOut, useFleet } from './fixtures/fleetFixture.js';

/** Limits with which a rollout of 48 chunks takes about three seconds. */
const SLOW_RATES = { originBytesPerSecond: 32 * CHUNK_BYTES, boxBytesPerSecond: 16 * CHUNK_BYTES };
const LONG_CHUNK_COUNT = 48;

const context = useFleet({ ...SLOW_RATES, entriesPerDataCentre: 1 });

/** Waits until a box holds some chunks of a version, so that the rollout is in progress. */
async function untilInProgress(version: string): Promise<void> {
  const { fleet } = context;
  await fleet.until(`${version} under way`, async () => {
    const status = await fleet.rollout('korrigan', 'judge');
    return (
      status.wantedVersion === version &&
      status.perBox.some((box) => box.totalChunks === LONG_CHUNK_COUNT && box.heldChunks > 4)
    );
  });
}

async function expectServed(version: string, digest: string): Promise<void> {
  const { fleet } = context;
  const boxes = fleet.modelBoxes().filter((box) => fleet.box(box).child.running);
  for (const box of boxes) {
    const state = await engineState(fleet, box);
    expect(state.active).toEqual(version);
    expect(state.digests[version]).toEqual(digest);
  }
}

test('should deliver the exact bytes to every engine and fetch each chunk from the origin once', async () => {
  const { fleet } = context;
  const before = await fleet.originBytes();
  const digest = await rollOut(fleet, 'v1');
  await fleet.untilComplete('korrigan', 'judge', 'v1');
  await expectServed('v1', digest);
  expect((await fleet.originBytes()) - before).toEqual(24 * CHUNK_BYTES);
});

test('should fetch from the origin only the chunks that a version does not share with the previous one', async () => {
  const { fleet } = context;
  const before = await fleet.originBytes();
  const digest = await rollOut(fleet, 'v2', { base: 'v1', changedShare: 0.25 });
  await fleet.untilComplete('korrigan', 'judge', 'v2');
  await expectServed('v2', digest);
  expect((await fleet.originBytes()) - before).toEqual(6 * CHUNK_BYTES);
});

test('should fill a replaced box from its peers, not from the origin', async () => {
  const { fleet } = context;
  const box = fleet.modelBoxes()[0];
  const before = await fleet.originBytes();
  await fleet.restart(box);
  await fleet.until('the new agent serves', async () => {
    const status = await fleet.rollout('korrigan', 'judge');
    const replaced = status.perBox.find((each) => each.box === box);
    return replaced?.state === 'active' && replaced.activeVersion === 'v2';
  });
  expect(await fleet.originBytes()).toEqual(before);
});

test('should end with the latest version when it changes during a rollout', async () => {
  const { fleet } = context;
  await rollOut(fleet, 'v3', { chunkCount: LONG_CHUNK_COUNT });
  await untilInProgress('v3');
  const digest = await rollOut(fleet, 'v4', { chunkCount: LONG_CHUNK_COUNT });
  await fleet.untilComplete('korrigan', 'judge', 'v4');
  await expectServed('v4', digest);
});

test('should continue when the entry that coordinates is killed during a rollout', async () => {
  const { fleet } = context;
  const before = await fleet.originBytes();
  const digest = await rollOut(fleet, 'v5', { chunkCount: LONG_CHUNK_COUNT });
  await untilInProgress('v5');
  const { box, epoch } = await coordinator(fleet);
  await fleet.box(box).child.end('SIGKILL');
  await fleet.untilComplete('korrigan', 'judge', 'v5');
  await expectServed('v5', digest);
  expect((await coordinator(fleet)).epoch > epoch).toEqual(true);
  expect((await fleet.originBytes()) - before).toEqual(LONG_CHUNK_COUNT * CHUNK_BYTES);
  await fleet.restart(box);
});

test('should complete a rollout despite a coordinator that was frozen past its lease', async () => {
  const { fleet } = context;
  await rollOut(fleet, 'v6', { chunkCount: LONG_CHUNK_COUNT });
  await untilInProgress('v6');
  const { box, epoch } = await coordinator(fleet);
  const frozen = fleet.box(box).child;
  frozen.signal('SIGSTOP');
  const other = fleet.entries().find((entry) => entry.name !== box)!;
  await fleet.until('another coordinator', async () => (await coordinator(fleet)).epoch > epoch);
  const digest = await publishFrom(other.name, 'v7');
  frozen.signal('SIGCONT');
  await fleet.untilComplete('korrigan', 'judge', 'v7');
  await expectServed('v7', digest);
});

/** Publishes a version and a configuration that wants it, through the given entry. */
async function publishFrom(entry: string, version: string): Promise<string> {
  const { fleet } = context;
  const recipe = {
    customer: 'korrigan',
    model: 'judge',
    version,
    chunkBytes: CHUNK_BYTES,
    chunkCount: LONG_CHUNK_COUNT,
  };
  const { blobDigest } = await fleet.publishVersion(recipe);
  const body = { template: 'chat', parameters: { version, boxes: fleet.modelBoxes() } };
  await fleet.until('the change is accepted', async () => {
    const answer = await fleet.sendAsOperator(
      'PUT',
      '/v1/configurations/korrigan/judge',
      body,
      fleet.box(entry),
    );
    return answer.status === 200;
  });
  return blobDigest;
}

test('should transfer chunks while the object API is down, and switch when it is back', async () => {
  const { fleet } = context;
  const digest = await rollOut(fleet, 'v8', { chunkCount: LONG_CHUNK_COUNT });
  await untilInProgress('v8');
  await fleet.setFaults(fleet.objectApiUrl, { availability: 'down' });
  await fleet.until('every chunk is there', async () => {
    const status = await fleet.rollout('korrigan', 'judge');
    return status.perBox.every((box) => box.heldChunks === LONG_CHUNK_COUNT);
  });
  const { active } = await engineState(fleet, fleet.modelBoxes()[0]);
  expect(active).toEqual('v7');
  await fleet.setFaults(fleet.objectApiUrl, { availability: 'up' });
  await fleet.untilComplete('korrigan', 'judge', 'v8');
  await expectServed('v8', digest);
});

test('should fetch a corrupt chunk from the origin again within the budget and never serve it', async () => {
  const { fleet } = context;
  await fleet.setFaults(fleet.originUrl, { corruptShare: 0.1 });
  const digest = await rollOut(fleet, 'v9', { chunkCount: LONG_CHUNK_COUNT });
  await fleet.untilComplete('korrigan', 'judge', 'v9');
  await fleet.setFaults(fleet.originUrl, { corruptShare: 0 });
  await expectServed('v9', digest);
});

test('should reassign the origin fetches of a killed box', async () => {
  const { fleet } = context;
  const digest = await rollOut(fleet, 'v10', { chunkCount: LONG_CHUNK_COUNT });
  await untilInProgress('v10');
  const victim = fleet.modelBoxes()[1];
  await fleet.box(victim).child.end('SIGKILL');
  await fleet.removeFromBoxList(victim);
  await fleet.untilComplete('korrigan', 'judge', 'v10');
  await expectServed('v10', digest);
  await fleet.restart(victim);
  await fleet.until('the box is back', async () => (await engineState(fleet, victim)).active === 'v10');
});

test('should remove a configuration from a box that it no longer names', async () => {
  const { fleet } = context;
  const [dropped, ...kept] = fleet.modelBoxes();
  await rollOut(fleet, 'v10', { chunkCount: LONG_CHUNK_COUNT, boxes: kept });
  await fleet.until('the box holds nothing', async () => {
    const text = await (await fetch(`${fleet.box(dropped).httpUrl}/metrics`)).text();
    return text.includes('larklatch_staged_bytes 0');
  });
});

test('should remove a withdrawn configuration from every box', async () => {
  const { fleet } = context;
  const answer = await fleet.sendAsOperator('DELETE', '/v1/configurations/korrigan/judge');
  expect(answer.status).toEqual(200);
  await fleet.until(
    'withdrawn',
    async () => (await fleet.rollout('korrigan', 'judge')).phase === 'withdrawn',
  );
  for (const box of fleet.modelBoxes()) {
    await fleet.until(`${box} holds nothing`, async () => {
      const text = await (await fetch(`${fleet.box(box).httpUrl}/metrics`)).text();
      return text.includes('larklatch_staged_bytes 0');
    });
  }
});
