/** How the end of a server's answer is determined. */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import type { ArrivedRequest, Script } from '../standins/scriptedBackend.js';
import { answers, events, unframedStreamHead } from '../standins/scriptedBackend.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { routeFixture } from './fixtures/servingFixture.js';
import { until } from './fixtures/until.js';

const ONCE_STREAM = { routes: [routeFixture({ kind: 'stream' })] };

const fixture = new GatewayFixture();

afterEach(() => fixture.stop());

/** Sends two events of a stream without length. */
function begins(request: ArrivedRequest): void {
  request.socket.write(unframedStreamHead(request) + events(1, 2));
}

async function endedLine(): Promise<string> {
  const find = (): string | undefined => fixture.lines.find((line) => /"request\.(answered|cut)"/.test(line));
  await until(() => find() !== undefined);
  return find()!;
}

/** Guards against logs that don't tell a stream whose end was checked from one that showed its end. */
test('should log how the end of an answer was determined', async () => {
  const ends: Script = (request) => {
    begins(request);
    request.socket.end();
  };
  await fixture.start([ends], ONCE_STREAM);
  await fixture.request();
  expect(await endedLine()).toInclude('"framing":"connection","processState":"running"');
  fixture.lines.length = 0;
  fixture.backends[0].answerWith(answers());
  await fixture.request();
  const line = await endedLine();
  expect([line.includes('"framing":"length"'), line.includes('processState')]).toEqual([true, false]);
});
