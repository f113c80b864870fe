/** Requests with a deadline to a real entry process, also while it is stopping. */
import { test } from 'node:test';
import { expect } from 'earl';
import { pause } from '../src/utils/timers.js';
import { call, rollOut, useFleet } from './fixtures/fleetFixture.js';

const context = useFleet({
  modelBoxesPerDataCentre: 1,
  engine: { tokenMilliseconds: 10, firstTokenMilliseconds: 5, slots: 64 },
  agentSettings: { BACKEND_SLOTS: '64' },
  entrySettings: { DRAIN_MILLISECONDS: '2000' },
});

/** Long enough for each stream, and short enough for some to end before the entry closes its connections. */
const DEADLINE_MILLISECONDS = 1_800;

/** Sends a stream to the first entry; returns how it ended. */
async function send(maximumTokens: number, deadline = DEADLINE_MILLISECONDS): Promise<string> {
  const messages = [{ role: 'user', content: 'ruling' }];
  const body = { model: 'judge', messages, stream: true, max_tokens: maximumTokens };
  const headers = { 'larklatch-deadline-milliseconds': String(deadline) };
  const answer = await call(context.fleet, '/v1/chat/completions', body, headers).catch(() => undefined);
  if (!answer) return 'not accepted';
  const text = await answer.text().catch(() => 'cut');
  if (answer.status !== 200) return `${answer.status} ${answer.headers.get('larklatch-outcome')}`;
  return text.endsWith('data: [DONE]\n\n') ? 'whole' : 'cut';
}

/** Guards against a deadline that is not a whole number of milliseconds any more when the request is sent. */
test('should serve a request with a deadline, and end it by then', async () => {
  const { fleet } = context;
  await rollOut(fleet, 'v1', { chunkCount: 2 });
  await fleet.untilComplete('korrigan', 'judge', 'v1');
  expect(await send(60)).toEqual('whole');
  expect(await send(1_000, 300)).toEqual('cut');
});

/** Guards against an entry that takes requests until the moment at which it exits, and cuts them off. */
test('should cut no answer that a stopping entry takes, and refuse the others', async () => {
  const { fleet } = context;
  const [entry] = fleet.entries();
  let hasExited = false;
  const exited = entry.child.end('SIGTERM').then((code) => {
    hasExited = true;
    return code;
  });
  const ends: Promise<string>[] = [];
  while (!hasExited) {
    ends.push(send(60));
    await pause(50);
  }
  const distinct = [...new Set(await Promise.all(ends))].sort();
  expect(distinct.filter((end) => end !== 'not accepted')).toEqual(['503 not-run', 'whole']);
  expect(await exited).toEqual(0);
});
