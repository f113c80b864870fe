/** Tests that rollouts reach all boxes when an entry connects to only some of the agents. */
import { test } from 'node:test';
import { expect } from 'earl';
import { engineState, rollOut, useFleet } from './fixtures/fleetFixture.js';

const context = useFleet({ entrySettings: { AGENTS_PER_ENTRY: '2' } });

test('should bring a version to boxes outside the coordinator’s subset', async () => {
  const { fleet } = context;
  const digest = await rollOut(fleet, 'v1');
  for (const box of fleet.modelBoxes()) {
    await fleet.until(`${box} serves`, async () => (await engineState(fleet, box)).active === 'v1');
    expect((await engineState(fleet, box)).digests['v1']).toEqual(digest);
  }
});
