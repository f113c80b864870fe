/**
 * A model server was ordered to take version 8 and took it with chunks of version 9 among its own. Version 9 had been named while
 * the server served version 8, so that its chunks were laid over those of version 8 as they came. The server crashed and started
 * again without any version; its agent went back to version 8, read the place, laid anew what differed and ordered it, while
 * chunks of version 9 went on being laid into the same place as they arrived. What came between the reading and the taking of
 * the order was in what the server took. The lines of the agent that settled it, in seconds:
 *
 *   63.795 version.serving        version 8
 *   64.519 backend.gone           version 8
 *   64.676 chunk.not-laid         chunk 15, connect ECONNREFUSED; fifteen more until 65.941, all of version 9
 *   66.069 backend.started-again  revision 0, formerRevision 5
 *   66.099 chunks.laid-anew       chunks 20
 *   66.110 version.ordered        version 8, begun
 *   66.487 version.whole          version 9
 *
 * Servers that answer at once never show it: in the fixture each call takes some time, drawn by a seed.
 */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { StagingFixture } from './fixtures/stagingFixture.js';
import { until } from './fixtures/until.js';

let fixture: StagingFixture;

beforeEach(() => {
  fixture = new StagingFixture();
});

afterEach(async () => await fixture.stop());

test('should not let chunks of a newer version into what a server that starts again is ordered to take', async () => {
  await fixture.start(1);
  await until(() => fixture.allServe(1));
  const [{ server }] = fixture.boxes;
  server.callMilliseconds = 6;
  fixture.origin.readMilliseconds = 30;
  for (let version = 2; version <= 7; version++) {
    fixture.name(version);
    await until(() => server.stagedOf(version) >= 2);
    server.crash();
    await until(() => fixture.allServe(version));
  }
  expect(fixture.takenUnwhole).toEqual([]);
});
