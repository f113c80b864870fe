/** Tests requests on real processes: at-most-once execution, isolation, planned stops, cut streams and cancellation. */
import { randomUUID } from 'node:crypto';
import { test } from 'node:test';
import { expect } from 'earl';
import { call, newKeys, notice, publishService, rollOut, runsOf, useFleet } from './fixtures/fleetFixture.js';

const context = useFleet({
  modelBoxesPerDataCentre: 1,
  plainBoxesPerDataCentre: 1,
  engine: { tokenMilliseconds: 10, firstTokenMilliseconds: 5 },
});

function chat(content: string, extra: object = {}): object {
  return { model: 'judge', messages: [{ role: 'user', content }], ...extra };
}

/** Returns the number of runs of a key on all boxes. */
async function runsOfKey(key: string): Promise<number> {
  const runs = await runsOf(context.fleet);
  return runs.filter((run) => run.idempotencyKey === key).length;
}

test('should answer a chat completion as a single body and as a stream', async () => {
  const { fleet } = context;
  await rollOut(fleet, 'v1', { chunkCount: 2 });
  await fleet.untilComplete('korrigan', 'judge', 'v1');
  const whole = await call(fleet, '/v1/chat/completions', chat('ruling'));
  expect(whole.headers.get('larklatch-outcome')).toEqual('answered');
  expect(whole.headers.get('larklatch-version')).toEqual('v1');
  expect((await whole.text()).includes('korrigan/judge@v1: ruling')).toEqual(true);
  const stream = await call(fleet, '/v1/chat/completions', chat('ruling', { stream: true }), {}, 1);
  expect((await stream.text()).endsWith('data: [DONE]\n\n')).toEqual(true);
});

test('should hide the configurations of one customer from another', async () => {
  const { fleet } = context;
  const answer = await call(fleet, '/v1/chat/completions', chat('x'), { authorization: 'Bearer key-other' });
  expect(answer.status).toEqual(404);
  expect((await answer.text()).includes('korrigan')).toEqual(false);
});

test('should refuse an unknown key and name a wrong header', async () => {
  const { fleet } = context;
  const unknown = await call(fleet, '/v1/chat/completions', chat('x'), { authorization: 'Bearer nobody' });
  expect(unknown.status).toEqual(401);
  const wrong = await call(fleet, '/v1/chat/completions', chat('x'), { 'larklatch-priority': 'urgent' });
  expect(wrong.status).toEqual(422);
  expect((await wrong.text()).includes('larklatch-priority')).toEqual(true);
});

test('should refuse a body over the limit and serve the caller again', async () => {
  const answer = await call(context.fleet, '/v1/chat/completions', chat('x'.repeat(5_000_000)));
  expect(answer.status).toEqual(413);
  await answer.text();
  const next = await call(context.fleet, '/v1/chat/completions', chat('after'));
  expect((await next.text()).includes('after')).toEqual(true);
});

test('should run a key once when all entries receive it at the same time', async () => {
  const { fleet } = context;
  await publishService(fleet);
  for (let round = 0; round < 20; round++) {
    const key = randomUUID();
    const answers = await Promise.all([0, 1, 2].map((entry) => notice(fleet, key, entry)));
    expect(answers.filter((answer) => answer.status === 200).length >= 1).toEqual(true);
    for (const answer of answers)
      expect(answer.headers.get('larklatch-outcome') === 'not-run').toEqual(false);
    expect(await runsOfKey(key)).toEqual(1);
  }
});

test('should give the same answer again at another entry', async () => {
  const { fleet } = context;
  const [key] = await newKeys(fleet, 1);
  const first = await (await notice(fleet, key, 0)).text();
  const second = await (await notice(fleet, key, 1)).text();
  expect(second).toEqual(first);
  expect(await runsOfKey(key)).toEqual(1);
});

test('should hand over the ledger on a planned stop of an agent', async () => {
  const { fleet } = context;
  const keys = Array.from({ length: 24 }, () => randomUUID());
  for (const key of keys) expect((await notice(fleet, key)).status).toEqual(200);
  const leaving = fleet.plainBoxes()[2];
  const ended = fleet.box(leaving).child.end('SIGTERM');
  const duringStop = Array.from({ length: 24 }, () => randomUUID());
  for (const key of duringStop) expect((await notice(fleet, key)).status).toEqual(200);
  expect(await ended).toEqual(0);
  await fleet.removeFromBoxList(leaving);
  const later = Array.from({ length: 24 }, () => randomUUID());
  for (const key of later) expect((await notice(fleet, key)).status).toEqual(200);
  for (const key of keys) {
    await notice(fleet, key);
    expect(await runsOfKey(key)).toEqual(1);
  }
  await fleet.restart(leaving);
  await fleet.untilComplete('korrigan', 'notices', '1');
});

test('should report an unknown outcome and not run again when the answer of the service is lost', async () => {
  const { fleet } = context;
  for (const box of fleet.plainBoxes())
    await fleet.setFaults(fleet.box(box).backendUrl, { requests: 'lose-answer' });
  const key = randomUUID();
  const answers = [await notice(fleet, key, 0), await notice(fleet, key, 1), await notice(fleet, key, 2)];
  for (const box of fleet.plainBoxes()) await fleet.setFaults(fleet.box(box).backendUrl, { requests: 'ok' });
  for (const answer of answers) expect(answer.headers.get('larklatch-outcome')).toEqual('unknown');
  expect(await runsOfKey(key)).toEqual(1);
});

test('should not run a key again after the agent that ran it has restarted without its ledger', async () => {
  const { fleet } = context;
  const keys = Array.from({ length: 24 }, () => randomUUID());
  for (const key of keys) expect((await notice(fleet, key)).status).toEqual(200);
  const victim = fleet.plainBoxes()[0];
  const runsBefore = await runsOf(fleet, [victim]);
  const lostKeys = keys.filter((key) => runsBefore.some((run) => run.idempotencyKey === key));
  expect(lostKeys.length > 0).toEqual(true);
  await fleet.restart(victim);
  await fleet.until('the lost slots have a new owner', async () => {
    const answer = await notice(fleet, lostKeys[0], 1);
    return answer.status === 409 && ((await answer.json()) as { error: string }).error === 'uncertain';
  });
  for (const key of lostKeys) {
    expect((await notice(fleet, key, 2)).headers.get('larklatch-outcome')).toEqual('unknown');
    expect(await runsOfKey(key)).toEqual(1);
  }
  const [fresh] = await newKeys(fleet, 1);
  expect((await notice(fleet, fresh)).status).toEqual(200);
});

test('should not run the keys of a frozen agent on other boxes', async () => {
  const { fleet } = context;
  const victim = fleet.plainBoxes()[1];
  const child = fleet.box(victim).child;
  child.signal('SIGSTOP');
  const keys = Array.from({ length: 12 }, () => randomUUID());
  const answers = await Promise.all(keys.map((key) => notice(fleet, key).catch(() => undefined)));
  child.signal('SIGCONT');
  await fleet.until(
    'all entries see the agent',
    async () => (await notice(fleet, randomUUID())).status === 200,
  );
  for (const [index, key] of keys.entries()) {
    const runs = await runsOfKey(key);
    expect(runs <= 1).toEqual(true);
    if (answers[index]?.headers.get('larklatch-outcome') === 'not-run') expect(runs).toEqual(0);
  }
});

/** Sends chat requests continuously until `stop` is called, which returns the answers that were incomplete. */
function sendContinuously(entries: readonly number[]): { stop: () => Promise<string[]> } {
  const { fleet } = context;
  const failures: string[] = [];
  const urls = entries.map((entry) => fleet.entries()[entry].httpUrl);
  let running = true;
  const send = async (url: string): Promise<void> => {
    while (running) {
      const answer = await fetch(`${url}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: 'Bearer key-korrigan' },
        body: JSON.stringify(chat('load', { stream: true, max_tokens: 20 })),
      });
      const text = await answer.text().catch((error: unknown) => String(error));
      if (answer.status !== 200 || !text.endsWith('data: [DONE]\n\n'))
        failures.push(`${answer.status} ${text.slice(-80)}`);
    }
  };
  const loops = urls.flatMap((url) => [send(url), send(url)]);
  return {
    stop: async () => {
      running = false;
      await Promise.all(loops.map((loop) => loop.catch((error: unknown) => failures.push(String(error)))));
      return failures;
    },
  };
}

test('should report the version that answered while versions change', async () => {
  const { fleet } = context;
  const wrong: string[] = [];
  let running = true;
  const send = async (entry: number): Promise<void> => {
    while (running) {
      const answer = await call(fleet, '/v1/chat/completions', chat('which', { max_tokens: 1 }), {}, entry);
      const text = await answer.text();
      const version = answer.headers.get('larklatch-version');
      if (answer.status !== 200 || !text.includes(`korrigan/judge@${version}: which`))
        wrong.push(`${version}: ${text}`);
    }
  };
  const sending = Promise.all([0, 1, 2, 0, 1, 2, 0, 1, 2].map((entry) => send(entry)));
  for (const version of ['v2', 'v3', 'v4', 'v5', 'v1']) {
    await rollOut(fleet, version, { chunkCount: 2 });
    await fleet.untilComplete('korrigan', 'judge', version);
  }
  running = false;
  await sending;
  expect(wrong).toEqual([]);
});

test('should cut no answers on a planned stop of an agent', async () => {
  const { fleet } = context;
  const load = sendContinuously([0, 1]);
  const box = fleet.modelBoxes()[0];
  expect(await fleet.box(box).child.end('SIGTERM')).toEqual(0);
  expect(await load.stop()).toEqual([]);
  await fleet.restart(box);
  await fleet.untilComplete('korrigan', 'judge', 'v1');
});

/** Returns how many requests a box runs while all boxes together run forty. */
async function runsDuringFortyRequests(box: string): Promise<number> {
  const { fleet } = context;
  const before = (await runsOf(fleet, [box])).length;
  const all = (await runsOf(fleet, fleet.modelBoxes())).length;
  await fleet.until(
    'the boxes have run forty more requests',
    async () => (await runsOf(fleet, fleet.modelBoxes())).length >= all + 40,
  );
  return (await runsOf(fleet, [box])).length - before;
}

test('should send no new requests to a box that is leaving in the box list, and cut no answers', async () => {
  const { fleet } = context;
  const box = fleet.modelBoxes()[1];
  const load = sendContinuously([0, 1]);
  await fleet.setBoxState(box, 'leaving');
  await fleet.until('the box gets no new requests', async () => (await runsDuringFortyRequests(box)) === 0);
  expect(await runsDuringFortyRequests(box)).toEqual(0);
  expect(await load.stop()).toEqual([]);
  await fleet.setBoxState(box, 'live');
});

test('should cut no answers on a planned stop of an entry', async () => {
  const { fleet } = context;
  const entry = fleet.entries()[2];
  const streams = Array.from({ length: 6 }, () =>
    call(fleet, '/v1/chat/completions', chat('long', { stream: true, max_tokens: 60 }), {}, 2),
  );
  const heads = await Promise.all(streams);
  const ended = entry.child.end('SIGTERM');
  for (const head of heads) expect((await head.text()).endsWith('data: [DONE]\n\n')).toEqual(true);
  expect(await ended).toEqual(0);
});

test('should not run a request twice when its entry is frozen while it waits for the answer', async () => {
  const { fleet } = context;
  const entry = fleet.entries()[0];
  const content = randomUUID();
  const answer = call(fleet, '/v1/chat/completions', chat(content, { max_tokens: 100 }), {}, 0);
  await fleet.until('the request runs', async () => (await chatRuns(content)) === 1);
  entry.child.signal('SIGSTOP');
  await fleet.until('the answer is ready', async () => {
    const states = await Promise.all(
      fleet.modelBoxes().map((box) => fleet.read<{ running: number }>(`${fleet.box(box).backendUrl}/_state`)),
    );
    return states.every((state) => state.running === 0);
  });
  await new Promise((resolve) => setTimeout(resolve, FREEZE_MILLISECONDS));
  entry.child.signal('SIGCONT');
  expect((await (await answer).text()).includes(content)).toEqual(true);
  expect(await chatRuns(content)).toEqual(1);
  await fleet.until('the entry serves again', async () => {
    return (await call(fleet, '/v1/chat/completions', chat('again'))).status === 200;
  });
});

/** Longer than the silence after which a control connection is closed. */
const FREEZE_MILLISECONDS = 3_000;

async function chatRuns(content: string): Promise<number> {
  const runs = await runsOf(context.fleet, context.fleet.modelBoxes());
  return runs.filter((run) => run.content === content).length;
}

test('should leave a cut stream visibly incomplete', async () => {
  const { fleet } = context;
  for (const box of fleet.modelBoxes())
    await fleet.setFaults(fleet.box(box).backendUrl, { cutStreamAfterTokens: 3 });
  const answer = await call(fleet, '/v1/chat/completions', chat('cut', { stream: true, max_tokens: 9 }));
  expect(answer.status).toEqual(200);
  const text = await answer.text().catch((error: unknown) => String(error));
  for (const box of fleet.modelBoxes())
    await fleet.setFaults(fleet.box(box).backendUrl, { cutStreamAfterTokens: 0 });
  expect(text.includes('[DONE]')).toEqual(false);
});

test('should cancel the request when the caller disconnects', async () => {
  const { fleet } = context;
  const abort = new AbortController();
  const request = fetch(`${fleet.entries()[0].httpUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer key-korrigan' },
    body: JSON.stringify(chat('leave', { stream: true, max_tokens: 500 })),
    signal: abort.signal,
  });
  expect((await request).status).toEqual(200);
  abort.abort();
  await fleet.until('the engine stops', async () => {
    const states = await Promise.all(
      fleet
        .modelBoxes()
        .map((box) => fleet.read<{ cancelled: number }>(`${fleet.box(box).backendUrl}/_state`)),
    );
    return states.some((state) => state.cancelled > 0);
  });
});
