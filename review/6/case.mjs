/**
 * Some streams of the runners have neither a length nor chunks and end with their connection. One entry is killed while
 * it passes on streams. Exits with 1 if a client saw a stream end in order before its last piece.
 */
import { newId, send } from '../lib-2/client.mjs';
import { CannotRun, Fleet, HOST, configuration, route } from '../lib-2/fleet.mjs';
import { CaseRecord } from '../lib-2/record.mjs';
import { Runner, pause } from '../lib-2/runner.mjs';

const IS_TROUBLED = process.env.TROUBLE !== '0';
const NETWORK = 206;
const LEAD_MILLISECONDS = 12_000;
/** One of so many streams has neither a length nor chunks: 5 in 100. */
const UNFRAMED_EVERY = 20;
const EVENTS = 20;
const PAUSE_MILLISECONDS = 100;
const STREAMS_PER_SECOND = 90;
const TRAFFIC_MILLISECONDS = 6_000;
const KILL_AFTER_MILLISECONDS = 3_000;

const record = new CaseRecord(import.meta.dirname);
const fleet = new Fleet({ network: NETWORK, agents: 4 });
const runners = [];
/** Whether the runner sent the stream without a length and chunks, by the id of its request. */
const isUnframed = new Map();
let streams = 0;

async function addRunner(index, zone) {
  let last = '';
  const runner = new Runner({
    id: `tales-${index}`,
    service: 'tales',
    zone,
    slots: 120,
    onRun: ({ id }) => (last = id),
    streamShape: () => {
      const unframed = ++streams % UNFRAMED_EVERY === 0;
      isUnframed.set(last, unframed);
      return { events: EVENTS, pauseMilliseconds: PAUSE_MILLISECONDS, unframed };
    },
  });
  await runner.listen(`127.${NETWORK}.3.${index + 1}`);
  runners.push(runner);
  fleet.publish(runner);
}

async function request(entry) {
  const id = newId();
  const answer = await send({
    entry: entry.front,
    host: HOST,
    path: '/stream/1',
    method: 'POST',
    key: 'key-a',
    id,
    body: 'go on',
  });
  const pieces = answer.body.match(/^id: /gm)?.length ?? 0;
  return { ...answer, entry: entry.name, pieces };
}

async function traffic(kill) {
  const answers = [];
  const startedAt = Date.now();
  let isKilled = false;
  for (let turn = 0; Date.now() - startedAt < TRAFFIC_MILLISECONDS; turn++) {
    answers.push(request(fleet.entries[turn % fleet.entries.length]));
    await pause(1_000 / STREAMS_PER_SECOND);
    if (isKilled || Date.now() - startedAt < KILL_AFTER_MILLISECONDS) continue;
    isKilled = true;
    kill();
  }
  return await Promise.all(answers);
}

async function run() {
  const routes = [
    route({ prefix: '/stream/', type: 'streaming', service: 'tales', resumable: true, itl_target_ms: 300 }),
  ];
  const services = [{ name: 'tales', max_conns: 1_000 }];
  const tenants = [{ name: 'studio-a', api_keys: ['key-a'] }];
  await fleet.start(configuration({ version: 1, routes, services, tenants }));
  for (const [index, zone] of ['north', 'south', 'west'].entries()) await addRunner(index, zone);
  await pause(LEAD_MILLISECONDS);
  const [killed] = fleet.entries;
  const answers = await traffic(() => {
    if (!IS_TROUBLED) return;
    killed.child.kill('SIGKILL');
    record.add(`SIGKILL to ${killed.name}`);
  });
  const begun = answers.filter(({ status }) => status === 200);
  if (begun.length < answers.length / 3)
    throw new CannotRun(`${begun.length} of ${answers.length} streams began`);
  const early = begun.filter(({ pieces }) => pieces < EVENTS);
  const detected = early.filter(({ complete }) => !complete);
  const broken = early.filter(({ complete }) => complete);
  record.add(
    `${answers.length} streams asked for, ${begun.length} began, ${early.length} ended before piece ${EVENTS}`,
  );
  record.add(`${detected.length} of these ended with an error, ${broken.length} in order`);
  for (const { id, entry, pieces, headers, endedAt } of broken)
    record.add(
      `${entry}: stream ${id} ended in order after piece ${pieces} of ${EVENTS}; from its runner ${isUnframed.get(id) ? 'without' : 'with'} chunks; to the client transfer-encoding ${headers['transfer-encoding'] ?? 'none'}, connection ${headers.connection}`,
      endedAt,
    );
  return broken.length;
}

let code = 2;
try {
  const broken = await run();
  code = broken > 0 ? 1 : 0;
  record.write(code === 1 ? 'BROKEN: ORDER' : 'HELD');
} catch (error) {
  record.add(`${error instanceof CannotRun ? '' : 'error: '}${error.stack}`);
  record.write('COULD NOT RUN');
} finally {
  await fleet.stop();
  for (const runner of runners) runner.close();
}
process.exit(code);
