/** How the end of a server's answer is determined. */
import { afterEach, beforeEach, test } from 'node:test';
import { expect } from 'earl';
import { AnswerEnd } from '../src/serving/answerEnd.js';
import type { AnswerReceiver } from '../src/serving/answerReceiver.js';
import type { CurrentAttempt } from '../src/serving/currentAttempt.js';
import type { TrackedServer } from '../src/serving/trackedServer.js';
import { UnframedServices } from '../src/serving/unframedServices.js';
import { ManualClock } from '../src/utils/clock.js';
import type { ProcessState } from '../src/utils/connectProbe.js';
import { splitAddress } from '../src/utils/hostPort.js';
import type { ArrivedRequest, Script } from '../standins/scriptedBackend.js';
import { ScriptedBackend, answers, events, unframedStreamHead } from '../standins/scriptedBackend.js';
import { GatewayFixture } from './fixtures/gatewayFixture.js';
import { routeFixture } from './fixtures/servingFixture.js';
import { until } from './fixtures/until.js';

const ONCE_STREAM = { routes: [routeFixture({ kind: 'stream' })] };

let fixture: GatewayFixture;
/** A process that takes over the address of an exited server. */
let next: ScriptedBackend;

beforeEach(() => {
  fixture = new GatewayFixture();
  next = new ScriptedBackend(answers({ body: 'whole' }));
});

afterEach(() => {
  fixture.stop();
  next.close();
});

/** Sends two events of a stream without length. */
function begins(request: ArrivedRequest): void {
  request.socket.write(unframedStreamHead(request) + events(1, 2));
}

/** Sends two events, and replaces the server at its address as the system does when its process exits. */
function isReplaced(request: ArrivedRequest): void {
  begins(request);
  setTimeout(() => {
    const [host, port] = splitAddress(fixture.record(0).address);
    fixture.backends[0].close();
    void next.listen(host, port);
  }, 30);
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

/** Judges an answer that ends with its connection; `check` is the check of its server. */
async function judge(check: (receiver: AnswerReceiver) => ProcessState): Promise<string[]> {
  const receiver = { brokenOff: undefined, endsWithConnection: true, answer: {} } as AnswerReceiver;
  const current = { clear: () => undefined, call: undefined } as unknown as CurrentAttempt;
  const exitChecker = { processState: () => Promise.resolve(check(receiver)) };
  const clock = new ManualClock();
  const context = { suspicions: { exitChecker }, clock, unframed: new UnframedServices(clock) };
  const end = new AnswerEnd(receiver, current, context, { onceClosed: () => undefined });
  const verdicts: string[] = [];
  end.judge({ record: {} } as TrackedServer, {
    isOver: () => false,
    onWhole: () => void verdicts.push('whole'),
    onBrokenOff: ({ brokeOff }) => void verdicts.push(brokeOff ? 'broken off' : 'unclear'),
  });
  await until(() => end.fields.processState !== undefined);
  return verdicts;
}

/** The verdict if the checks of the server have these results. */
async function verdict(...states: ProcessState[]): Promise<string> {
  return (await judge(() => states.shift()!)).join();
}

/** Guards against the end of a killed server's stream that counts as whole since the server could not be checked. */
test('should not take an answer for whole without a sign of life of its server', async () => {
  expect(await verdict('unknown', 'unknown', 'unknown')).toEqual('unclear');
  expect(await verdict('unknown', 'exited')).toEqual('broken off');
  expect(await verdict('unknown', 'running')).toEqual('whole');
});

/** Guards against a stream that looks complete because a supervisor has replaced its killed server before the check. */
test('should break off a stream without length whose server is replaced at its address', async () => {
  await fixture.start([isReplaced], ONCE_STREAM);
  const { body, whole } = await fixture.request();
  expect([body, whole]).toEqual([events(1, 2), false]);
});

/** Guards against a server that is replaced before a witness that begins with the head of its answer has reached it. */
test('should watch a server before it answers if its service sends streams without length', async () => {
  const ends: Script = (request) => {
    begins(request);
    request.socket.end();
  };
  await fixture.start([ends], ONCE_STREAM);
  expect((await fixture.request()).whole).toEqual(true);
  const { opened } = fixture.backends[0];
  fixture.backends[0].answerWith(() => undefined);
  void fixture.request().catch(() => undefined);
  await until(() => fixture.arrivals === 2 && fixture.backends[0].opened === opened + 2);
});

/** Guards against the same for an answer that may not be sent again. */
test('should not answer with a part if the server is replaced at its address', async () => {
  await fixture.start([isReplaced], { routes: [routeFixture({ kind: 'once' })] });
  expect((await fixture.request({ method: 'POST' })).status).toEqual(502);
});

/** Guards against a stream that the end of its first server completes, although another server has gone on with it. */
test('should not judge an answer that another server has gone on with and broken off', async () => {
  const verdicts = await judge((receiver) => {
    Object.assign(receiver, { answer: {} });
    return 'running';
  });
  expect(verdicts).toEqual([]);
});

/** Guards against a check that finds a killed process between the ends of its first connection and of its port. */
test('should break off a stream without length whose server ends its connections one by one', async () => {
  const exits: Script = (request) => {
    begins(request);
    request.socket.end(() => setTimeout(() => fixture.backends[0].close(), 10));
  };
  await fixture.start([exits], ONCE_STREAM);
  expect((await fixture.request()).whole).toEqual(false);
});
