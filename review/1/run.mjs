/**
 * A machine stands still between its agent's check of the staged pieces and the order to load them, right after a piece
 * has turned bad. Once it wakes, the agent must not order the runner to take what lies there unchecked.
 */
import { fileURLToPath } from 'node:url';
import { setTimeout as pause } from 'node:timers/promises';
import { sendRequest } from '../lib/client.mjs';
import { configuration, KEY, MODEL, MODEL_SERVICE, STREAM_PATH } from '../lib/configuration.mjs';
import { CannotRun, Fleet, freeNetwork } from '../lib/fleet.mjs';
import { MetadataStore } from '../lib/metadataStore.mjs';
import { Record } from '../lib/record.mjs';
import { runCase } from '../lib/run.mjs';
import { Runner } from '../lib/runner.mjs';
import { Weights, WeightsOrigin } from '../lib/weights.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ENTRIES = 3;
const MODEL_RUNNERS = 3;
const NEW_VERSION = 2;
/** The site file has a machine stand still for 3.5 to 4 s. */
const FREEZE_MILLISECONDS = 4_000;
/** From the report that the agent asks for after its check until a piece turns bad, and from then until the freeze. */
const BEFORE_SPOILING_MILLISECONDS = 5;
const BEFORE_FREEZE_MILLISECONDS = 5;
/** A piece that turned bad less than this before it was taken doesn't count. */
const EXCUSED_MILLISECONDS = 3_000;
const SPOILT_PIECE = 17;
const PIECES = { model: MODEL, pieces: 48, pieceBytes: 49_152 };
const REQUEST_INTERVAL_MILLISECONDS = 150;
const SERVED_MILLISECONDS = 6_000;

const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const weights = new Weights(PIECES);
const store = new MetadataStore();
const origin = new WeightsOrigin(weights);
const runners = [];
let fleet;
let frozen;
let hasOrdered = false;
let badTokens = 0;

/** Follows the calls of one agent, to see when it has read back all pieces of the new version. */
class Check {
  constructor(runner, agent) {
    this._runner = runner;
    this._agent = agent;
    this._read = new Set();
  }

  onCall(call, item) {
    if (call === 'put') this._read.clear();
    if (call === 'get') this._read.add(item);
    if (call === 'report' && this._isDone()) this._onDone();
  }

  _isDone() {
    return this._read.size === PIECES.pieces && this._runner.hasStaged(NEW_VERSION);
  }

  _onDone() {
    this._read.clear();
    record.write(
      `agent of ${this._runner.id} has read back all pieces of version ${NEW_VERSION}; all are whole`,
    );
    if (HAS_TROUBLE && !frozen) void freeze(this._runner, this._agent);
  }
}

async function freeze(runner, agent) {
  frozen = runner;
  await pause(BEFORE_SPOILING_MILLISECONDS);
  runner.spoil(SPOILT_PIECE);
  record.write(`piece ${SPOILT_PIECE} turns bad at ${runner.id}`);
  await pause(BEFORE_FREEZE_MILLISECONDS);
  agent.kill('SIGSTOP');
  runner.standStill();
  record.write(`the machine of ${runner.id} stands still: agent and runner`);
  await pause(FREEZE_MILLISECONDS);
  runner.wake();
  agent.kill('SIGCONT');
  record.write(`the machine of ${runner.id} wakes`);
}

function onStart(runner, version, badPieces) {
  const bad = badPieces.map(({ piece, badFor }) => `piece ${piece} bad for ${badFor} ms`).join(', ');
  record.write(`${runner.id} is ordered to take version ${version}: ${bad || 'all pieces are whole'}`);
  if (runner === frozen) hasOrdered = true;
}

function onEvent(runner, { id, event, badPieces }) {
  const broken = badPieces.find(({ badFor }) => badFor > EXCUSED_MILLISECONDS);
  if (!broken) return;
  badTokens++;
  if (badTokens <= 5)
    record.write(`event ${event} of request ${id}: tokens of layers taken with bad piece ${broken.piece}`);
}

function startRunner(index) {
  const checkHolder = {};
  const runner = new Runner({
    id: `i-${index + 1}`,
    service: MODEL_SERVICE,
    weights,
    version: 1,
    streamOf: () => ({ events: 6, firstMilliseconds: 60, pauseMilliseconds: 50, isFramed: true }),
    onCall: (call, item) => {
      if (call === 'event') onEvent(runner, item);
      else checkHolder.check?.onCall(call, item);
    },
    onStart: (version, badPieces) => onStart(runner, version, badPieces),
  });
  runners.push(runner);
  return { runner, checkHolder };
}

function publish(index) {
  const runner = runners[index];
  store.put('servers', runner.id, runner.record(fleet.appAddress(index), fleet.zone(index)));
}

async function sendRequests(until) {
  let count = 0;
  let answered = 0;
  while (Date.now() < until()) {
    const id = `stream-${++count}`;
    const headers = { 'x-model': MODEL, 'x-token-usage': '600,36', authorization: `Bearer ${KEY}` };
    const address = fleet.frontAddress(count % ENTRIES);
    void sendRequest({ ...address, method: 'POST', path: STREAM_PATH, id, headers, deadline: 6_000 }).then(
      (answer) => {
        if (answer.isWhole && answer.status === 200) answered++;
        else record.write(`request ${id}: ${answer.text}`);
      },
    );
    await pause(REQUEST_INTERVAL_MILLISECONDS);
  }
  record.write(`${count} requests sent, ${answered} answered whole`);
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
  for (let index = 0; index < MODEL_RUNNERS; index++) {
    const { runner, checkHolder } = startRunner(index);
    await runner.listen(fleet.sideHost(index), 8001);
    publish(index);
    checkHolder.check = new Check(runner, fleet.startAgent(index, MODEL_SERVICE));
  }
  for (let index = 0; index < ENTRIES; index++) fleet.startEntry(index);
  await fleet.ready();
  record.write('all entries are ready');
  let until = Infinity;
  const requests = sendRequests(() => until);
  await pause(2_000);
  store.put('versions', MODEL, { model: MODEL, version: NEW_VERSION });
  record.write(`version ${NEW_VERSION} is named and acknowledged`);
  await waitFor(() => runners.every((runner) => runner.version === NEW_VERSION), 25_000);
  if (HAS_TROUBLE && !hasOrdered) throw new CannotRun('no agent was frozen between its check and its order');
  until = Date.now() + SERVED_MILLISECONDS;
  await requests;
  await pause(1_500);
  record.write(
    `${badTokens} events came from layers taken with a piece bad for over ${EXCUSED_MILLISECONDS} ms`,
  );
  return badTokens > 0;
}

async function waitFor(condition, milliseconds) {
  const until = Date.now() + milliseconds;
  while (!condition() && Date.now() < until) {
    runners.forEach((_runner, index) => publish(index));
    await pause(250);
  }
  if (!condition()) throw new CannotRun('not all runners came to serve the new version');
}

async function stop() {
  await fleet?.stop();
  for (const standin of [store, origin, ...runners]) standin.close();
}

await runCase({ record, play, stop });
