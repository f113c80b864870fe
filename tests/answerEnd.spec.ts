/** How the end of a server's answer is determined. */
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import { AnswerEnd } from '../src/serving/answerEnd.js';
import type { AnswerReceiver } from '../src/serving/answerReceiver.js';
import type { CurrentAttempt } from '../src/serving/currentAttempt.js';
import type { TrackedServer } from '../src/serving/trackedServer.js';
import type { ProcessState } from '../src/utils/connectProbe.js';
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

/** Judges an answer that ends with its connection; the checks of its server have these results. */
async function verdict(...states: ProcessState[]): Promise<string> {
  const receiver = { brokenOff: undefined, endsWithConnection: true } as AnswerReceiver;
  const current = { clear: () => undefined, call: undefined } as unknown as CurrentAttempt;
  const end = new AnswerEnd(receiver, current, { processState: () => Promise.resolve(states.shift()!) });
  return await new Promise((resolve) =>
    end.judge({ record: {} } as TrackedServer, {
      isOver: () => false,
      onWhole: () => resolve('whole'),
      onBrokenOff: ({ brokeOff }) => resolve(brokeOff ? 'broken off' : 'unclear'),
    }),
  );
}

/** Guards against the end of a killed server's stream that counts as whole since the server could not be checked. */
test('should not take an answer for whole without a sign of life of its server', async () => {
  expect(await verdict('unknown', 'unknown', 'unknown')).toEqual('unclear');
  expect(await verdict('unknown', 'exited')).toEqual('broken off');
  expect(await verdict('unknown', 'running')).toEqual('whole');
});
