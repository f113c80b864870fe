/** Stops entries, one after the other or together, while callers go on sending them streams of many lengths. */
import http from 'node:http';
import type { Random } from '../src/utils/random.js';
import { pause } from '../src/utils/timers.js';
import { eventText } from '../standins/platformAnswers.js';
import type { StreamShape } from '../standins/platformStreams.js';
import { streamQuery } from '../standins/platformStreams.js';
import type { FleetProcess } from './fleetProcess.js';
import type { LeavingChecks, LeavingEnd } from './leavingChecks.js';
import type { PromiseChecks } from './promiseChecks.js';
import { COMMON_PART, REFUSAL_STATUSES } from './soakCaller.js';
import { CUSTOMERS, HOST, LONG_PATH, MODEL } from './soakConfiguration.js';
import type { SoakFleet } from './soakFleet.js';

export interface LeavingEntriesOptions {
  fleet: SoakFleet;
  random: Random;
  checks: PromiseChecks;
  leaving: LeavingChecks;
  /** Stops an entry with SIGTERM and starts it again once it has exited. */
  restart: (entry: FleetProcess) => Promise<void>;
}

const MAX_GAP_MILLISECONDS = 1_300;
const SLOWED_SHARE = 0.8;
/** Factors of the time before an event. */
const SLOWNESS = [1.5, 3, 10, Number.POSITIVE_INFINITY];
const REPEATED_SIGNAL_SHARE = 0.5;
const REQUEST_INTERVAL_MILLISECONDS = 80;
/** Number of events of the longest stream, for each second of the grace time. */
const EVENTS_PER_SECOND = 20;
const PAUSES_MILLISECONDS = [15, 25, 40];
const DEADLINES_MILLISECONDS = [500, 1_500, 4_000, 15_000];
const MILLISECONDS_PER_SECOND = 1_000;

export class LeavingEntries {
  private readonly _options: LeavingEntriesOptions;
  private _count = 0;

  constructor(options: LeavingEntriesOptions) {
    this._options = options;
  }

  /** Stops some or all of the entries; resolves when they have been started again and all requests have ended. */
  async run(): Promise<void> {
    const { fleet, random } = this._options;
    const count = 1 + random.integer(fleet.entries.length);
    const gap = random.integer(MAX_GAP_MILLISECONDS);
    const leaving: Promise<void>[] = [];
    for (const entry of fleet.entries.filter(({ running, paused }) => running && !paused).slice(0, count)) {
      leaving.push(this._stop(entry));
      await pause(gap);
    }
    await Promise.all(leaving);
  }

  /** The same, while the servers of these streams become slower, or stand still, some time after the first signal. */
  async runBesideSlowServers(): Promise<void> {
    const { fleet, random, leaving } = this._options;
    const runners = fleet.boxes.map(({ runner }) => runner);
    const slowed = runners.filter(() => random.fraction() < SLOWED_SHARE);
    const slowness = this._pick(SLOWNESS);
    const slowAfter = random.integer(leaving.graceSeconds * MILLISECONDS_PER_SECOND);
    const timer = setTimeout(() => {
      for (const { streamSpeed } of slowed) streamSpeed.slowness = slowness;
    }, slowAfter);
    await this.run();
    clearTimeout(timer);
    for (const { streamSpeed } of slowed) streamSpeed.slowness = 1;
  }

  private async _stop(entry: FleetProcess): Promise<void> {
    const { random, leaving, restart } = this._options;
    const ended = entry.ended();
    const { processId } = entry;
    const restarted = restart(entry);
    // Another operation may have stopped the same process before.
    const stoppedAt = entry.terminatedAt ?? Date.now();
    const killedAt = stoppedAt + leaving.graceSeconds * MILLISECONDS_PER_SECOND;
    const requests = this._sendUntil(entry, killedAt, ended);
    if (random.fraction() < REPEATED_SIGNAL_SHARE) {
      await pause(random.integer(MAX_GAP_MILLISECONDS));
      if (entry.processId === processId) entry.signal('SIGTERM');
    }
    await Promise.all([restarted, requests]);
  }

  /** Sends streams over kept connections until the process has exited. */
  private async _sendUntil(entry: FleetProcess, killedAt: number, ended: Promise<void>): Promise<void> {
    const agent = new http.Agent({ keepAlive: true });
    const requests: Promise<void>[] = [];
    let hasEnded = false;
    void ended.then(() => (hasEnded = true));
    while (!hasEnded) {
      requests.push(this._send(this._options.fleet.callerAddress(entry), killedAt, agent));
      await pause(REQUEST_INTERVAL_MILLISECONDS);
    }
    await Promise.all(requests);
    agent.destroy();
  }

  private async _send(entry: string, killedAt: number, agent: http.Agent): Promise<void> {
    const { random, checks, leaving } = this._options;
    const maximumEvents = leaving.graceSeconds * EVENTS_PER_SECOND;
    const events = 1 + random.integer(maximumEvents);
    const shape = { events, pauseMilliseconds: this._pick(PAUSES_MILLISECONDS) };
    const tokens = events + random.integer(maximumEvents - events + 1);
    const id = `leaving-${this._count++}`;
    checks.onSending(id);
    const deadlineMilliseconds = this._pick(DEADLINES_MILLISECONDS);
    const sentAt = Date.now();
    const headers = {
      host: HOST,
      'x-attempt-id': id,
      'x-deadline-ms': String(deadlineMilliseconds),
      authorization: `Bearer ${CUSTOMERS[0].api_keys[0]}`,
      'x-model': MODEL,
      'x-prefix-hash': `${COMMON_PART},1:50`,
      'x-token-usage': `100,${tokens}`,
    };
    const { end, reason } = await exchange(entry, shape, headers, agent);
    const times = { sentAt, endedAt: Date.now(), deadlineMilliseconds, killedAt };
    leaving.onEnded({ id, entry, end, reason, ...times });
  }

  private _pick<T>(items: readonly T[]): T {
    return items[this._options.random.integer(items.length)];
  }
}

/** Sends one request and reads its answer to the end. */
async function exchange(
  entry: string,
  shape: StreamShape,
  headers: Record<string, string>,
  agent: http.Agent,
): Promise<{ end: LeavingEnd; reason: string }> {
  const [host, port] = entry.split(':');
  const options = { host, port, method: 'POST', path: `${LONG_PATH}x?${streamQuery(shape)}`, headers, agent };
  return await new Promise((resolve) => {
    const request = http.request(options, (answer) => {
      let body = '';
      answer.on('data', (bytes: Buffer) => (body += bytes.toString()));
      answer.on('error', () => resolve({ end: 'cut', reason: '' }));
      answer.on('end', () => resolve(endOf(answer.statusCode ?? 0, body, shape, headers['x-attempt-id'])));
    });
    request.on('error', ({ code }: NodeJS.ErrnoException) =>
      resolve({ end: code === 'ECONNREFUSED' ? 'not-accepted' : 'cut', reason: '' }),
    );
    request.end('{"prompt":"hello"}');
  });
}

function endOf(
  status: number,
  body: string,
  { events }: StreamShape,
  id: string,
): { end: LeavingEnd; reason: string } {
  if (status === 200) return { end: body.endsWith(eventText(id, events)) ? 'whole' : 'cut', reason: '' };
  if (!REFUSAL_STATUSES.has(status)) return { end: 'failed', reason: '' };
  return { end: 'rejected', reason: (JSON.parse(body) as { error: string }).error };
}
