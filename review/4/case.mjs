/**
 * Some answers of the runners have neither a length nor chunks, and are broken off by a reset of their connection.
 * Exits with 1 if a client got such an answer as a complete success.
 */
import { newId, send } from '../lib-2/client.mjs';
import { CannotRun, Fleet, HOST, ZONES, configuration, route } from '../lib-2/fleet.mjs';
import { CaseRecord } from '../lib-2/record.mjs';
import { ResettingRunner } from '../lib-2/resettingRunner.mjs';
import { pause } from '../lib-2/runner.mjs';

const IS_TROUBLED = process.env.TROUBLE !== '0';
const NETWORK = 204;
const LEAD_MILLISECONDS = 12_000;
/** Half of the runners reset 5 in 100 of their answers, for 5 s. */
const RUNNERS = 4;
const FAULTY_RUNNERS = 2;
const RESET_EVERY = 20;
const FAULTY_FROM_MILLISECONDS = 3_000;
const FAULTY_MILLISECONDS = 5_000;
const BODY_BYTES = 800;
const REQUESTS_PER_SECOND = 120;
const TRAFFIC_MILLISECONDS = 10_000;

const record = new CaseRecord(import.meta.dirname);
const fleet = new Fleet({ network: NETWORK });
const runners = [];
/** What runners sent, by the id of the request. */
const sentBy = new Map();

async function addRunner(index, zone) {
  const runner = new ResettingRunner({
    id: `turns-${index}`,
    service: 'turns',
    zone,
    bodyBytes: BODY_BYTES,
    onAnswer: (sent) => sentBy.set(sent.id, [...(sentBy.get(sent.id) ?? []), sent]),
  });
  await runner.listen(`127.${NETWORK}.3.${index + 1}`);
  runners.push(runner);
  fleet.publish(runner);
}

async function request(entry, isOnce) {
  const id = newId();
  const kind = isOnce
    ? { path: '/turns/1', method: 'POST', body: 'turn' }
    : { path: '/boards/1', method: 'GET' };
  const answer = await send({ entry: entry.front, host: HOST, key: 'key-a', id, ...kind, deadline: 1_500 });
  return { ...answer, entry: entry.name, method: kind.method };
}

/** Resets some answers of half of the runners for a while. */
async function disturb() {
  await pause(FAULTY_FROM_MILLISECONDS);
  for (const runner of runners.slice(0, FAULTY_RUNNERS)) runner.resetEvery = RESET_EVERY;
  await pause(FAULTY_MILLISECONDS);
  for (const runner of runners) runner.resetEvery = 0;
}

async function traffic() {
  const answers = [];
  const endsAt = Date.now() + TRAFFIC_MILLISECONDS;
  for (let turn = 0; Date.now() < endsAt; turn++) {
    answers.push(request(fleet.entries[turn % fleet.entries.length], turn % 2 === 0));
    await pause(1_000 / REQUESTS_PER_SECOND);
  }
  return await Promise.all(answers);
}

/** Whether a client got a success that is not the whole body of any runner. */
function isTruncated({ id, status, complete, body }) {
  return status === 200 && complete && !(sentBy.get(id) ?? []).some((sent) => sent.body === body);
}

async function run() {
  const common = { service: 'turns', timeout_ms: 1_500, latency_goal_ms: 200 };
  const routes = [
    route({ prefix: '/turns/', type: 'non_idempotent', ...common, max_attempts: 1 }),
    route({ prefix: '/boards/', type: 'idempotent', ...common, max_attempts: 2 }),
  ];
  const services = [{ name: 'turns', max_conns: 300 }];
  const tenants = [{ name: 'studio-a', api_keys: ['key-a'] }];
  await fleet.start(configuration({ version: 1, routes, services, tenants }));
  for (let index = 0; index < RUNNERS; index++) await addRunner(index, ZONES[index % ZONES.length]);
  await pause(LEAD_MILLISECONDS);
  if (IS_TROUBLED) void disturb();
  const answers = await traffic();
  const served = answers.filter(({ status }) => status === 200);
  if (served.length < answers.length / 2)
    throw new CannotRun(`${served.length} of ${answers.length} requests served`);
  const resets = [...sentBy.values()].flat().filter(({ body, sentBytes }) => sentBytes < body.length);
  record.add(
    `${answers.length} requests, ${served.length} answered with 200; runners reset ${resets.length} answers`,
  );
  const truncated = answers.filter(isTruncated);
  for (const { id, entry, method, body, endedAt } of truncated) {
    const [sent] = sentBy.get(id).slice(-1);
    const ofAll = `${body.length} of the ${sent.body.length} bytes of ${sent.runner}`;
    record.add(`${entry}: ${method} ${id} got 200 with the seal and ${ofAll}, ended in order`, endedAt);
  }
  record.add(`${truncated.length} clients got a success without the whole body`);
  return truncated.length;
}

let code = 2;
try {
  const broken = await run();
  code = broken > 0 ? 1 : 0;
  record.write(code === 1 ? 'BROKEN: MIXED' : 'HELD');
} catch (error) {
  record.add(`${error instanceof CannotRun ? '' : 'error: '}${error.stack}`);
  record.write('COULD NOT RUN');
} finally {
  await fleet.stop();
  for (const runner of runners) runner.close();
}
process.exit(code);
