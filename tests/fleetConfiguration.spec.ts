/** Configuration on real processes: races, lost answers, outages, restarts; it never goes back. */
import { test } from 'node:test';
import { expect } from 'earl';
import { OPERATOR_KEY } from '../standins/localFleet.js';
import { call, notice, publishService, useFleet } from './fixtures/fleetFixture.js';

const context = useFleet({
  modelBoxesPerDataCentre: 1,
  plainBoxesPerDataCentre: 1,
  entriesPerDataCentre: 1,
  entrySettings: { ISOLATED_MILLISECONDS: '1000' },
});
const PATH = '/v1/configurations/korrigan/judge';

function body(version: string): object {
  return { template: 'chat', parameters: { version, boxes: context.fleet.modelBoxes() } };
}

async function put(version: string, headers: Record<string, string>, entry = 0): Promise<Response> {
  return await fetch(`${context.fleet.entries()[entry].httpUrl}${PATH}`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body(version)),
  });
}

/** The version that each entry has in force. */
async function versions(): Promise<string[]> {
  const { fleet } = context;
  return await Promise.all(
    fleet.entries().map(async (entry) => {
      const answer = await fleet.sendAsOperator('GET', PATH, undefined, entry);
      return answer.status === 200
        ? (answer.body as { parameters: { version: string } }).parameters.version
        : `${answer.status}`;
    }),
  );
}

async function untilEverywhere(version: string): Promise<void> {
  await context.fleet.until(`${version} in force everywhere`, async () =>
    (await versions()).every((each) => each === version),
  );
}

test('should let one of two racing operators win and tell the other', async () => {
  const created = await put('v1', { 'if-none-match': '*' });
  const revision = created.headers.get('etag')!;
  const answers = await Promise.all([
    put('v2', { 'if-match': revision }, 0),
    put('v3', { 'if-match': revision }, 1),
  ]);
  expect(answers.map((answer) => answer.status).sort()).toEqual([200, 412]);
  await untilEverywhere(answers[0].status === 200 ? 'v2' : 'v3');
});

test('should accept a change whose answer from the object api was lost, once', async () => {
  const { fleet } = context;
  await fleet.setFaults(fleet.objectApiUrl, { loseWriteAnswers: 1 });
  const answer = await put('v4', { 'idempotency-key': 'change-4' });
  expect(answer.status).toEqual(200);
  const again = await put('v4', { 'idempotency-key': 'change-4' }, 1);
  expect(again.headers.get('etag')).toEqual(answer.headers.get('etag'));
  await untilEverywhere('v4');
});

test('should refuse changes while the object api is down, and change nothing', async () => {
  const { fleet } = context;
  await fleet.setFaults(fleet.objectApiUrl, { availability: 'down' });
  const answer = await put('v5', {});
  expect(answer.status).toEqual(503);
  expect(answer.headers.get('retry-after')).toEqual('1');
  expect(new Set(await versions())).toEqual(new Set(['v4']));
});

test('should bring a restarted entry up from its peers during the outage', async () => {
  const { fleet } = context;
  await fleet.restart(fleet.entries()[0].name);
  await untilEverywhere('v4');
  await fleet.setFaults(fleet.objectApiUrl, { availability: 'up' });
  await untilEverywhere('v4');
});

test('should keep an accepted change when the entry that said yes is killed at once', async () => {
  const { fleet } = context;
  const entry = fleet.entries()[0];
  const answer = await put('v6', {}, 0);
  expect(answer.status).toEqual(200);
  await entry.child.end('SIGKILL');
  await untilEverywhere('v6');
  await fleet.restart(entry.name);
  await untilEverywhere('v6');
});

test('should keep a deletion, also at an entry that was away', async () => {
  const { fleet } = context;
  const frozen = fleet.entries()[2];
  frozen.child.signal('SIGSTOP');
  const answer = await fleet.sendAsOperator('DELETE', PATH);
  frozen.child.signal('SIGCONT');
  expect(answer.status).toEqual(200);
  await untilEverywhere('404');
});

test('should name the field of a wrong configuration', async () => {
  const { fleet } = context;
  const answer = await fleet.sendAsOperator('PUT', PATH, {
    template: 'chat',
    parameters: { version: 'v 1', boxes: ['x'] },
  });
  expect(answer.status).toEqual(422);
  expect((answer.body as { problems: { field: string }[] }).problems[0].field).toEqual('parameters.version');
});

test('should refuse a template that would break a configuration built on it', async () => {
  const { fleet } = context;
  await fleet.publish(PATH, body('v7'));
  const answer = await fleet.sendAsOperator('PUT', '/v1/templates/chat', {
    parameters: {},
    rollout: { model: 'judge' },
  });
  expect(answer.status).toEqual(422);
});

test('should refuse operators without the key', async () => {
  const answer = await fetch(`${context.fleet.entries()[0].httpUrl}/v1/configurations`);
  expect(answer.status).toEqual(401);
});

test('should send nothing that may run once only from a data centre that is cut off, and serve the rest', async () => {
  const { fleet } = context;
  await publishService(fleet);
  const [cutOff, ...others] = fleet.entries();
  await fleet.setFaults(fleet.objectApiUrl, { availability: 'down' });
  others.forEach((entry) => entry.child.signal('SIGSTOP'));
  await fleet.until('the entry knows that it is cut off', async () => {
    const answer = await notice(fleet, 'a-key-while-cut-off');
    return answer.status === 503 && ((await answer.json()) as { error: string }).error === 'isolated';
  });
  const repeatable = await call(fleet, '/v1/services/notices/read', {}, { 'larklatch-repeatable': 'yes' });
  const entries = await fetch(`${cutOff.httpUrl}/v1/entries`, {
    headers: { authorization: 'Bearer key-korrigan' },
  });
  others.forEach((entry) => entry.child.signal('SIGCONT'));
  await fleet.setFaults(fleet.objectApiUrl, { availability: 'up' });
  expect(repeatable.status).toEqual(200);
  expect(((await entries.json()) as { entries: unknown[] }).entries).toEqual([]);
  await fleet.until(
    'the entry sends them again',
    async () => (await notice(fleet, 'a-key-afterwards')).status === 200,
  );
});
