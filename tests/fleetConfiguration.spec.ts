/**
 * Configuration changes on a fleet of processes: races, lost answers, outages and restarts. No entry may return to an
 * older revision. Each test builds on those before.
 */
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

/** Returns the version in the configuration that each entry has, or the status when it has none. */
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

async function waitForVersion(version: string): Promise<void> {
  await context.fleet.until(`${version} in force everywhere`, async () =>
    (await versions()).every((each) => each === version),
  );
}

test('should accept one of two concurrent changes and report a conflict for the other', async () => {
  const created = await put('v1', { 'if-none-match': '*' });
  const revision = created.headers.get('etag')!;
  const answers = await Promise.all([
    put('v2', { 'if-match': revision }, 0),
    put('v3', { 'if-match': revision }, 1),
  ]);
  expect(answers.map((answer) => answer.status).sort()).toEqual([200, 412]);
  await waitForVersion(answers[0].status === 200 ? 'v2' : 'v3');
});

test('should apply a change once when the answer of the object api was lost', async () => {
  const { fleet } = context;
  await fleet.setFaults(fleet.objectApiUrl, { loseWriteAnswers: 1 });
  const answer = await put('v4', { 'idempotency-key': 'change-4' });
  expect(answer.status).toEqual(200);
  const again = await put('v4', { 'idempotency-key': 'change-4' }, 1);
  expect(again.headers.get('etag')).toEqual(answer.headers.get('etag'));
  await waitForVersion('v4');
});

test('should refuse changes while the object api is down, and change nothing', async () => {
  const { fleet } = context;
  await fleet.setFaults(fleet.objectApiUrl, { availability: 'down' });
  const answer = await put('v5', {});
  expect(answer.status).toEqual(503);
  expect(answer.headers.get('retry-after')).toEqual('1');
  expect(new Set(await versions())).toEqual(new Set(['v4']));
});

test('should bring a restarted entry up to date from its peers during the outage', async () => {
  const { fleet } = context;
  await fleet.restart(fleet.entries()[0].name);
  await waitForVersion('v4');
  await fleet.setFaults(fleet.objectApiUrl, { availability: 'up' });
  await waitForVersion('v4');
});

test('should keep an accepted change when the entry that accepted it is killed at once', async () => {
  const { fleet } = context;
  const entry = fleet.entries()[0];
  const answer = await put('v6', {}, 0);
  expect(answer.status).toEqual(200);
  await entry.child.end('SIGKILL');
  await waitForVersion('v6');
  await fleet.restart(entry.name);
  await waitForVersion('v6');
});

test('should apply a deletion also at an entry that was frozen meanwhile', async () => {
  const { fleet } = context;
  const frozen = fleet.entries()[2];
  frozen.child.signal('SIGSTOP');
  const answer = await fleet.sendAsOperator('DELETE', PATH);
  frozen.child.signal('SIGCONT');
  expect(answer.status).toEqual(200);
  await waitForVersion('404');
});

test('should name the field of an invalid configuration', async () => {
  const { fleet } = context;
  const answer = await fleet.sendAsOperator('PUT', PATH, {
    template: 'chat',
    parameters: { version: 'v 1', boxes: ['x'] },
  });
  expect(answer.status).toEqual(422);
  expect((answer.body as { problems: { field: string }[] }).problems[0].field).toEqual('parameters.version');
});

test('should refuse a template that would invalidate a configuration that uses it', async () => {
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

test('should refuse non-repeatable requests at an isolated entry, and serve repeatable ones', async () => {
  const { fleet } = context;
  await publishService(fleet);
  const [cutOff, ...others] = fleet.entries();
  await fleet.setFaults(fleet.objectApiUrl, { availability: 'down' });
  others.forEach((entry) => entry.child.signal('SIGSTOP'));
  await fleet.until('the entry reports that it is isolated', async () => {
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
    'the entry accepts non-repeatable requests again',
    async () => (await notice(fleet, 'a-key-afterwards')).status === 200,
  );
});
