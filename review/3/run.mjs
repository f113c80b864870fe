/**
 * An entry gets SIGTERM. From 3.2 s after it on, clients that still hold its address open connections and send streams,
 * which the entry takes and passes on. The runners need 4.1 s for a stream; the route allows 6 s. Each answer must come
 * whole, or the entry must refuse the request.
 */
import { fileURLToPath } from 'node:url';
import { setTimeout as pause } from 'node:timers/promises';
import { sendRequest } from '../lib/client.mjs';
import { KEY, MODEL, MODEL_SERVICE, STREAM_PATH, configuration } from '../lib/configuration.mjs';
import { BOUNDS, CannotRun, Fleet, freeNetwork } from '../lib/fleet.mjs';
import { MetadataStore } from '../lib/metadataStore.mjs';
import { Record } from '../lib/record.mjs';
import { runCase } from '../lib/run.mjs';
import { Runner } from '../lib/runner.mjs';
import { Weights, WeightsOrigin } from '../lib/weights.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ENTRIES = 3;
const MODEL_RUNNERS = 3;
/** The longest streams of the site have 51.5 events; pauses of up to 300 ms between events are in time. */
const EVENTS = 51;
const STREAM = { events: EVENTS, firstMilliseconds: 100, pauseMilliseconds: 80 };
const DEADLINE_MILLISECONDS = 6_000;
/** Requests sent up to 3 s after the SIGTERM may be cut off in the last sixth of `grace_s`; these come later. */
const FIRST_REQUEST_MILLISECONDS = 3_200;
/** Clients may use an answer of the directory for three times its 2 s. */
const LAST_REQUEST_MILLISECONDS = 5_600;
const REQUEST_INTERVAL_MILLISECONDS = 200;
const MILLISECONDS_PER_SECOND = 1_000;

const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const weights = new Weights({ model: MODEL, pieces: 48, pieceBytes: 49_152 });
const store = new MetadataStore();
const origin = new WeightsOrigin(weights);
const runners = [];
/** Ids of the requests that a runner has begun. */
const begun = new Set();
let fleet;

async function startRunner(index) {
  const runner = new Runner({
    id: `i-${index + 1}`,
    service: MODEL_SERVICE,
    weights,
    version: 1,
    streamOf: () => ({ ...STREAM, isFramed: true }),
    onRun: ({ id }) => begun.add(id),
  });
  runners.push(runner);
  await runner.listen(fleet.sideHost(index), 8001);
  store.put('servers', runner.id, runner.record(fleet.appAddress(index), fleet.zone(index)));
  fleet.startAgent(index, MODEL_SERVICE);
}

/** Sends a stream; returns whether a runner had begun it and its answer did not come whole. */
async function sendStream(count, signalledAt) {
  const id = `stream-${count}`;
  const headers = { 'x-model': MODEL, 'x-token-usage': '900,306', authorization: `Bearer ${KEY}` };
  const address = fleet.frontAddress(0);
  const after = Date.now() - signalledAt;
  const request = {
    ...address,
    method: 'POST',
    path: STREAM_PATH,
    id,
    headers,
    deadline: DEADLINE_MILLISECONDS,
  };
  const { status, text, body } = await sendRequest(request);
  const events = body.split('\n\n').length - 1;
  const isBegun = begun.has(id);
  record.write(
    `${id} sent ${after} ms after SIGTERM: ${text}; ${events} of ${EVENTS} events; ${isBegun ? 'run' : 'not run'}`,
  );
  const isLost = isBegun && (status === 0 || (status === 200 && events < EVENTS));
  if (isLost) record.write(`  broken: ${id} was passed on and its answer is cut off`);
  return isLost;
}

async function play() {
  const network = await freeNetwork();
  const storeAddress = `${network}.1:8007`;
  const originAddress = `${network}.2:8006`;
  await store.listen(`${network}.1`, 8007);
  await origin.listen(`${network}.2`, 8006);
  fleet = new Fleet({ network, entries: ENTRIES, storeAddress });
  store.put('config', 'main', configuration({ version: 1, originAddress }));
  store.put('versions', MODEL, { model: MODEL, version: 1 });
  for (let index = 0; index < MODEL_RUNNERS; index++) await startRunner(index);
  const entries = Array.from({ length: ENTRIES }, (_unused, index) => fleet.startEntry(index));
  await fleet.ready();
  record.write('all entries are ready');
  await pause(BOUNDS.contact_ms + 1_000);
  const signalledAt = Date.now();
  if (HAS_TROUBLE) entries[0].kill('SIGTERM');
  record.write(HAS_TROUBLE ? 'entry 1 gets SIGTERM' : 'entry 1 gets no SIGTERM');
  const answers = [];
  await pause(FIRST_REQUEST_MILLISECONDS);
  while (Date.now() - signalledAt < LAST_REQUEST_MILLISECONDS) {
    answers.push(sendStream(answers.length + 1, signalledAt));
    await pause(REQUEST_INTERVAL_MILLISECONDS);
  }
  const kill = setTimeout(
    () => HAS_TROUBLE && entries[0].kill('SIGKILL'),
    signalledAt + BOUNDS.grace_s * MILLISECONDS_PER_SECOND - Date.now(),
  );
  const lost = (await Promise.all(answers)).filter(Boolean).length;
  clearTimeout(kill);
  if (begun.size === 0) throw new CannotRun('no request was run');
  record.write(`${answers.length} requests sent, ${begun.size} run, ${lost} of these cut off`);
  return lost > 0;
}

async function stop() {
  await fleet?.stop();
  for (const standin of [store, origin, ...runners]) standin.close();
}

await runCase({ record, play, stop });
