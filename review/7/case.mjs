/**
 * Some sound answers of the runners carry `Connection: close`. The entries get SIGHUP from time to time. Exits with 1 if
 * an entry cut a stream that was sent up to `config_apply_ms` after its SIGHUP and that its runner had sent whole.
 */
import { newId, send } from '../lib-2/client.mjs';
import { CannotRun, Fleet, HOST, configuration, route } from '../lib-2/fleet.mjs';
import { CaseRecord } from '../lib-2/record.mjs';
import { Runner, pause } from '../lib-2/runner.mjs';

const IS_TROUBLED = process.env.TROUBLE !== '0';
const NETWORK = 207;
const LEAD_MILLISECONDS = 12_000;
/** One of so many answers carries `Connection: close`. */
const CLOSES_EVERY = 10;
const EVENTS = 8;
const PAUSE_MILLISECONDS = 40;
const STREAMS_PER_SECOND = 90;
const TRAFFIC_MILLISECONDS = 24_000;
const SIGNAL_INTERVAL_MILLISECONDS = 2_000;
const CONFIG_APPLY_MILLISECONDS = 2_000;
/** Share of the machines that get SIGHUP each time. */
const SIGNAL_SHARE = 0.6;

const record = new CaseRecord(import.meta.dirname);
const fleet = new Fleet({ network: NETWORK });
const runners = [];
/** Requests whose whole answer a runner has sent. */
const sentWhole = new Set();
/** When each entry got SIGHUP, in Unix milliseconds. */
const signals = new Map();
let streams = 0;

async function addRunner(index, zone) {
  const runner = new Runner({
    id: `tales-${index}`,
    service: 'tales',
    zone,
    slots: 120,
    onSent: (id) => sentWhole.add(id),
    streamShape: () => {
      const closes = IS_TROUBLED && ++streams % CLOSES_EVERY === 0;
      return { events: EVENTS, pauseMilliseconds: PAUSE_MILLISECONDS, closes };
    },
  });
  await runner.listen(`127.${NETWORK}.3.${index + 1}`);
  runners.push(runner);
  fleet.publish(runner);
}

async function request(entry) {
  const id = newId();
  const common = { host: HOST, path: '/stream/1', method: 'POST', key: 'key-a', body: 'go on' };
  const answer = await send({ entry: entry.front, id, ...common });
  return { ...answer, entry: entry.name, pieces: answer.body.match(/^id: /gm)?.length ?? 0 };
}

function signalEntries() {
  const count = Math.floor(fleet.entries.length * SIGNAL_SHARE + 0.5);
  for (const entry of fleet.entries.slice(0, count)) {
    entry.child.kill('SIGHUP');
    signals.set(entry.name, [...(signals.get(entry.name) ?? []), Date.now()]);
  }
  record.add(`SIGHUP to ${count} of ${fleet.entries.length} entries`);
}

async function traffic() {
  const answers = [];
  const endsAt = Date.now() + TRAFFIC_MILLISECONDS;
  let signalledAt = Date.now();
  for (let turn = 0; Date.now() < endsAt; turn++) {
    answers.push(request(fleet.entries[turn % fleet.entries.length]));
    await pause(1_000 / STREAMS_PER_SECOND);
    if (Date.now() - signalledAt < SIGNAL_INTERVAL_MILLISECONDS) continue;
    signalledAt = Date.now();
    signalEntries();
  }
  return await Promise.all(answers);
}

/** Whether the rule counts an answer that was cut: sent up to `config_apply_ms` after SIGHUP, and cut after it. */
function isAroundSignal({ entry, sentAt }) {
  return (signals.get(entry) ?? []).some((at) => sentAt >= at && sentAt - at <= CONFIG_APPLY_MILLISECONDS);
}

async function run() {
  const kind = { type: 'streaming', service: 'tales', resumable: false, max_attempts: 1, itl_target_ms: 300 };
  const routes = [route({ prefix: '/stream/', ...kind })];
  const services = [{ name: 'tales', max_conns: 1_000 }];
  const tenants = [{ name: 'studio-a', api_keys: ['key-a'] }];
  await fleet.start(configuration({ version: 1, routes, services, tenants }));
  for (const [index, zone] of ['north', 'south', 'west'].entries()) await addRunner(index, zone);
  await pause(LEAD_MILLISECONDS);
  const answers = await traffic();
  const begun = answers.filter(({ status }) => status === 200);
  if (begun.length < answers.length / 2)
    throw new CannotRun(`${begun.length} of ${answers.length} streams began`);
  const cut = begun.filter(({ complete, id }) => !complete && sentWhole.has(id));
  const counted = cut.filter(isAroundSignal);
  record.add(
    `${answers.length} streams, ${begun.length} began, ${cut.length} cut that their runner had sent whole`,
  );
  for (const { id, entry, pieces, error, endedAt } of counted)
    record.add(`${entry}: stream ${id} ended with ${error} after ${pieces} of ${EVENTS} pieces`, endedAt);
  record.add(`${counted.length} of these were sent up to 2000 ms after SIGHUP to their entry`);
  return counted.length;
}

let code = 2;
try {
  const broken = await run();
  code = broken > 0 ? 1 : 0;
  record.write(code === 1 ? 'BROKEN: LOST' : 'HELD');
} catch (error) {
  record.add(`${error instanceof CannotRun ? '' : 'error: '}${error.stack}`);
  record.write('COULD NOT RUN');
} finally {
  await fleet.stop();
  for (const runner of runners) runner.close();
}
process.exit(code);
